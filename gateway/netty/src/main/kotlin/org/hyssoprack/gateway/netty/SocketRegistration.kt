package org.hyssoprack.gateway.netty

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.netty.channel.nio.NioEventLoop
import io.netty.channel.nio.NioTask
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Registration of one of Ktor's sockets with an event loop; used on its thread only. */
internal class SocketRegistration(
    private val selectable: Selectable,
    private val eventLoop: NioEventLoop
) : NioTask<SelectableChannel> {
    private var key: SelectionKey? = null
    private var interests = 0

    /** Waits for [interest]. Returns false if the socket is closed; then its waiters have failed. */
    fun add(interest: SelectInterest): Boolean {
        if (!selectable.channel.isOpen) {
            close()
            return false
        }
        // The loop may have moved the socket to a new selector, which invalidates its key.
        val isRegistered = interests and interest.flag != 0 && key?.isValid != false
        if (isRegistered) return true
        interests = interests or interest.flag
        eventLoop.register(selectable.channel, interests, this)
        return true
    }

    /** Fails the waiters, since the socket is closed. */
    fun close() = SelectInterest.entries.forEach {
        selectable.suspensions.removeSuspension(it)?.resumeWithException(ClosedChannelException())
    }

    override fun channelReady(channel: SelectableChannel, key: SelectionKey) {
        this.key = key
        val ready = SelectInterest.entries.filter { key.readyOps() and it.flag != 0 }
        ready.forEach { interest ->
            val waiter = selectable.suspensions.removeSuspension(interest)
            waiter?.resume(Unit)
            // Most messages are followed by the wait for the next one, so that readiness to read is
            // kept for one more event, which saves two system calls for each message.
            val isKept = interest == SelectInterest.READ && waiter != null
            if (!isKept) interests = interests and interest.flag.inv()
        }
        if (key.interestOps() != interests) key.interestOps(interests)
    }

    override fun channelUnregistered(channel: SelectableChannel, cause: Throwable?) = close()
}
