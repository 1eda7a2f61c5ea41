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
 * Task that sends the messages for one host over the best of its connections, and opens one when
 * there is none.
 *
 * @param host the host; null for whichever one accepts connections at [address].
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
    private var refusedUntilMs = Long.MIN_VALUE

    /** Where the host accepts connections; null as long as it is not known. */
    @Volatile
    var address: NetworkAddress? = null

    /** Queues [message]; the oldest one is dropped if too many wait. */
    fun send(message: HostMessage) {
        outgoing.trySend(message)
    }

    /** Adds a connection that was opened by either side. */
    fun add(connection: Connection) {
        opened.trySend(connection)
    }

    /** Serves the queue until cancelled. */
    suspend fun run() {
        while (true) {
            select {
                opened.onReceive { adopt(it) }
                outgoing.onReceive { forward(it) }
            }
        }
    }

    private fun adopt(connection: Connection) {
        val replaced = connections.filter { it !== connection && it.isReplacedBy(connection) }
        replaced.forEach { it.close(CloseReason.REPLACED) }
        connections = (connections - replaced.toSet() - connection + connection)
    }

    private fun Connection.isReplacedBy(other: Connection): Boolean =
        dialer == other.dialer || peer.incarnation < other.peer.incarnation

    private suspend fun forward(message: HostMessage) {
        val connection = best() ?: connect()
        if (connection == null) drop() else connection.send(message)
    }

    // Both sides choose the same one of two connections that they opened at the same time.
    private fun best(): Connection? {
        adoptOpened()
        connections = connections.filter { it.isOpen }
        return connections.minByOrNull { it.dialer.value }
    }

    private fun adoptOpened() {
        while (true) {
            val connection = opened.tryReceive().getOrNull() ?: return
            adopt(connection)
        }
    }

    private suspend fun connect(): Connection? {
        val target = address ?: return null
        if (clock.nowMs() < refusedUntilMs) return null
        RETRIES.retryEither { dialHost(target) }
            .onRight { adopt(it) }
            .onLeft { refusedUntilMs = clock.nowMs() + RETRY_DELAY_MS }
        return best()
    }

    private suspend fun dialHost(target: NetworkAddress): Either<Failure, Connection> =
        dial(target).flatMap {
            val isExpected = host == null || it.peer.host == host
            if (isExpected) it.right() else replaced(target).left()
        }

    private fun replaced(target: NetworkAddress): Failure =
        Failure(ResultCode.HOST_UNREACHABLE, "another host is at $target")

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
