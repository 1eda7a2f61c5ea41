package org.hyssoprack.link.tcp

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import arrow.resilience.Schedule
import arrow.resilience.retryEither
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode

/**
 * Sends the messages for one host over one of its open connections, and opens one if there is none.
 *
 * @param host id of the host; null if only its [address] is known.
 */
internal class Peer(
    private val host: HostId?,
    private val settings: LinkSettings,
    private val clock: Clock,
    private val counters: LinkCounters,
    private val dial: suspend (NetworkAddress) -> Either<Failure, Connection>
) {
    private val outgoing = Channel<HostMessage>(
        capacity = settings.queueLength,
        onBufferOverflow = BufferOverflow.DROP_OLDEST,
        onUndeliveredElement = { counters.drops.increment() }
    )
    private val opened = Channel<Connection>(Channel.UNLIMITED)
    private var connections = emptyList<Connection>()
    private var nextDialMs = Long.MIN_VALUE

    /** Address at which the host accepts connections; null while unknown. */
    @Volatile
    var address: NetworkAddress? = null

    /** Queues [message]; drops the oldest queued message if the queue is full. */
    fun send(message: HostMessage) {
        outgoing.trySend(message)
    }

    /** Adds a connection opened by either side. */
    fun add(connection: Connection) {
        opened.trySend(connection)
    }

    /** Sends queued messages until cancelled. */
    suspend fun run() {
        while (true) {
            select {
                opened.onReceive { register(it) }
                outgoing.onReceive { forward(it) }
            }
        }
    }

    private fun register(connection: Connection) {
        val replaced = connections.filter { it !== connection && it.isReplacedBy(connection) }
        replaced.forEach { it.close(CloseReason.REPLACED) }
        connections = (connections - replaced.toSet() - connection + connection)
    }

    private fun Connection.isReplacedBy(other: Connection): Boolean =
        dialer == other.dialer || peer.incarnation < other.peer.incarnation

    private suspend fun forward(message: HostMessage) {
        val connection = preferredConnection() ?: connect()
        if (connection == null) drop() else connection.send(message)
    }

    // If both sides connect at the same time, both choose the connection dialed by the smaller id.
    private fun preferredConnection(): Connection? {
        registerOpened()
        connections = connections.filter { it.isOpen }
        return connections.minByOrNull { it.dialer.value }
    }

    private fun registerOpened() {
        while (true) {
            val connection = opened.tryReceive().getOrNull() ?: return
            register(connection)
        }
    }

    private suspend fun connect(): Connection? {
        val target = address ?: return null
        if (clock.nowMs() < nextDialMs) return null
        RETRIES.retryEither { dialHost(target) }
            .onRight { register(it) }
            .onLeft { nextDialMs = clock.nowMs() + RETRY_DELAY_MS }
        return preferredConnection()
    }

    private suspend fun dialHost(target: NetworkAddress): Either<Failure, Connection> =
        dial(target).flatMap {
            val isExpected = host == null || it.peer.host == host
            if (isExpected) it.right() else replaced(target).left()
        }

    private fun replaced(target: NetworkAddress): Failure =
        Failure(ResultCode.HOST_UNREACHABLE, "expected host $host at $target, found another host")

    private fun drop() {
        counters.drops.increment()
        while (outgoing.tryReceive().isSuccess) counters.drops.increment()
    }

    private companion object {
        const val RETRY_DELAY_MS = 500L
        const val FIRST_BACKOFF_MS = 50
        const val RETRY_COUNT = 2L

        val RETRIES = Schedule.exponential<Failure>(FIRST_BACKOFF_MS.milliseconds)
            .jittered()
            .and(Schedule.recurs(RETRY_COUNT))
    }
}
