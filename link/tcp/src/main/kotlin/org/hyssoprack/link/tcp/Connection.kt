package org.hyssoprack.link.tcp

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.eq
import org.hyssoprack.common.msUntilMultipleOf
import org.hyssoprack.link.ReceivedMessage

/**
 * One connection to a peer after the handshake. [run] owns the socket.
 *
 * @property peer incarnation of the host on the other side.
 * @property address where the peer accepts connections.
 * @property dialer host that opened the connection.
 * @param revision newest messages that the peer can decode.
 */
internal class Connection(
    val peer: HostRef,
    val address: NetworkAddress,
    val dialer: HostId,
    private val revision: Int,
    private val socket: FrameSocket,
    private val settings: LinkSettings,
    private val clock: Clock,
    private val log: EventLog,
    private val counters: LinkCounters,
    private val deliver: (ReceivedMessage) -> Unit
) {
    private val outgoing = Channel<Frame>(
        capacity = settings.queueLength,
        onBufferOverflow = BufferOverflow.DROP_OLDEST,
        onUndeliveredElement = { counters.drops.increment() }
    )
    private val ended = CompletableDeferred<CloseReason>()
    private val monitorResumed = Channel<Unit>(Channel.CONFLATED)

    /** Time of the first message sent after the last received byte, initially of creation. */
    @Volatile
    private var unansweredSinceMs: Long? = clock.nowMs()

    @Volatile
    private var lastMessageMs = clock.nowMs()

    @Volatile
    private var lastSentMs = clock.nowMs()

    private val isHeartbeatPaused: Boolean get() = clock.nowMs() - lastMessageMs >
        settings.heartbeatPauseAfterMs

    /** True until the connection has ended. */
    val isOpen: Boolean get() = !ended.isCompleted

    /**
     * Queues [message]; drops the oldest queued message if the queue is full. A message that the peer
     * cannot decode is not sent, since the peer would close the connection.
     */
    fun send(message: HostMessage) {
        if (message.sinceRevision > revision) return
        val sent = outgoing.trySend(Frame.Payload(message))
        if (sent.isFailure) counters.drops.increment()
    }

    /** Ends the connection. */
    fun close(reason: CloseReason) {
        ended.complete(reason)
    }

    /** Reads and writes frames until the connection ends; returns the reason. */
    suspend fun run(): CloseReason {
        counters.connections.incrementAndGet()
        try {
            return serve()
        } finally {
            ended.complete(CloseReason.STOPPED)
            counters.connections.decrementAndGet()
            socket.close()
            outgoing.cancel()
        }
    }

    private suspend fun serve(): CloseReason = coroutineScope {
        launch { closeOnFailure { readFrames() } }
        launch { closeOnFailure { writeFrames() } }
        launch { monitor() }
        val reason = ended.await()
        socket.close()
        coroutineContext.cancelChildren()
        reason
    }

    private suspend fun closeOnFailure(work: suspend () -> Unit) {
        try {
            work()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.event("link-broken", "peer" eq peer, "error" eq e.message)
        } finally {
            ended.complete(CloseReason.BROKEN)
        }
    }

    private suspend fun readFrames() {
        while (isOpen) {
            val frame = socket.read { unansweredSinceMs = null }
            frame.fold({ return reject(it) }, { accept(it) })
        }
    }

    private fun accept(frame: Frame) {
        if (frame !is Frame.Payload) return
        recordMessage()
        deliver(ReceivedMessage(from = peer, message = frame.message))
    }

    private fun recordMessage() {
        val wasHeartbeatPaused = isHeartbeatPaused
        lastMessageMs = clock.nowMs()
        if (wasHeartbeatPaused) monitorResumed.trySend(Unit)
    }

    private fun reject(fault: FrameFault) {
        counters.refusals.increment()
        log.event("link-frame-refused", "peer" eq peer, "fault" eq fault.wireName)
        close(CloseReason.BAD_FRAME)
    }

    private suspend fun writeFrames() {
        for (first in outgoing) {
            if (!isOpen) return
            writeBatch(first)
            lastSentMs = clock.nowMs()
            socket.flush()
        }
    }

    private fun writeBatch(first: Frame) {
        var frame: Frame? = first
        var size = 0
        while (frame != null) {
            if (frame is Frame.Payload) recordSentMessage()
            size += write(frame)
            frame = if (size < BATCH_BYTES) outgoing.tryReceive().getOrNull() else null
        }
    }

    // A heartbeat needs no answer: the last one before a pause gets none, and would close the
    // connection.
    private fun recordSentMessage() {
        recordMessage()
        if (unansweredSinceMs == null) unansweredSinceMs = clock.nowMs()
    }

    private fun write(frame: Frame): Int =
        socket.write(frame).fold({ logUnsendable(frame, it) }, { it })

    private fun logUnsendable(frame: Frame, fault: FrameFault): Int {
        counters.drops.increment()
        val type = (frame as? Frame.Payload)?.message?.let { it::class.simpleName }
        log.event("link-message-unsendable", "type" eq type, "fault" eq fault.wireName)
        return 0
    }

    // Sends heartbeats, and detects that nothing is received. One timer for both, which fires at the
    // same time on all connections, since each wake-up of an idle host costs processor time.
    private suspend fun monitor() {
        while (isOpen) {
            if (isHeartbeatPaused && unansweredSinceMs == null) {
                withTimeoutOrNull(settings.idleMs) { monitorResumed.receive() }
            } else {
                delay(clock.msUntilMultipleOf(settings.heartbeatMs / CHECKS_PER_HEARTBEAT))
            }
            val nowMs = clock.nowMs()
            val isTimedOut = unansweredSinceMs.let {
                it != null && nowMs - it > settings.receiveTimeoutMs
            }
            if (isTimedOut) return closeOnReceiveTimeout()
            if (nowMs - lastMessageMs > settings.idleMs) return close(CloseReason.IDLE)
            if (isHeartbeatDue(nowMs)) outgoing.trySend(Frame.Heartbeat)
        }
    }

    // Early by a quarter, since the next check is half an interval later and a connection that is
    // about to pause has to send a last heartbeat.
    private fun isHeartbeatDue(nowMs: Long) =
        !isHeartbeatPaused && nowMs - lastSentMs >= settings.heartbeatMs * 3 / 4

    private fun closeOnReceiveTimeout() {
        counters.timeouts.increment()
        close(CloseReason.SILENT)
    }

    private companion object {
        const val BATCH_BYTES = 64 * 1_024
        const val CHECKS_PER_HEARTBEAT = 2
    }
}
