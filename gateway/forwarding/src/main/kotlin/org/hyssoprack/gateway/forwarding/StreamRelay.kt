package org.hyssoprack.gateway.forwarding

import io.netty.handler.codec.http.HttpHeaders
import org.hyssoprack.gateway.ResponseWriter

/** Relays a stream's complete events to the caller, from one server or several in turn. */
internal class StreamRelay(private val answer: ResponseWriter) {
    private val events = EventSplitter()
    private var servers = 0

    /** Head of the current server's response, while the caller has no event. */
    private var head: Head? = null

    private class Head(val status: Int, val headers: HttpHeaders)

    /** Id of the last event sent to the caller; null before the first. */
    val lastEventId: String? get() = events.lastEventId

    /** Number of complete events so far. */
    val eventCount: Int get() = events.count

    /** Whether no incomplete event is buffered. */
    val isWhole: Boolean get() = !events.hasPartialEvent

    /** Whether the whole stream so far came from one server. */
    val isFromOneServer: Boolean get() = servers == 1

    /**
     * Begins the response of a server. Its head is written with the first event: until then, what
     * another server answers can still be given to the caller as it is.
     */
    fun begin(status: Int, headers: HttpHeaders) {
        events.dropPartial()
        servers++
        head = Head(status, headers)
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
        writeHead()
        answer.send(complete)
    }

    /** Waits until the host may hold [bytes] of a response that is not a stream. */
    suspend fun hold(bytes: Int) = answer.hold(bytes)

    suspend fun end() {
        writeHead()
        answer.end()
    }

    private suspend fun writeHead() {
        val first = head ?: return
        head = null
        if (!answer.isStarted) answer.start(first.status, first.headers)
    }
}
