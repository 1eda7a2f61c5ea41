package org.hyssoprack.gateway.forwarding

import io.netty.handler.codec.http.HttpHeaders
import org.hyssoprack.gateway.ResponseWriter

/** Relays a stream's complete events to the caller, from one server or several in turn. */
internal class StreamRelay(private val answer: ResponseWriter) {
    private val events = EventSplitter()
    private var servers = 0

    /** Id of the last event sent to the caller; null before the first. */
    val lastEventId: String? get() = events.lastEventId

    /** Whether the head of the response has been sent to the caller. */
    val isStarted: Boolean get() = answer.isStarted

    /** Whether no incomplete event is buffered. */
    val isWhole: Boolean get() = !events.hasPartialEvent

    /** Whether the whole stream so far came from one server. */
    val isFromOneServer: Boolean get() = servers == 1

    /** Writes the head, unless that of an earlier server was written already. */
    suspend fun begin(status: Int, headers: HttpHeaders) {
        events.dropPartial()
        servers++
        if (!answer.isStarted) answer.start(status, headers)
    }

    /** Number of bytes buffered because their event is incomplete. */
    val pendingBytes: Int get() = events.pendingBytes

    /**
     * Relays the events that are complete with [bytes]. Calls [onEvents] before if there are any,
     * since the caller may read slowly.
     */
    suspend fun send(bytes: ByteArray, onEvents: () -> Unit) {
        val complete = events.add(bytes)
        if (complete.isEmpty()) return
        onEvents()
        answer.send(complete)
    }

    suspend fun end() = answer.end()
}
