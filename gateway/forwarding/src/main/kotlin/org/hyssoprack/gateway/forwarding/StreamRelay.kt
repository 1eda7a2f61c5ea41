package org.hyssoprack.gateway.forwarding

import io.netty.handler.codec.http.HttpHeaders
import org.hyssoprack.gateway.ResponseWriter

/** Passes a stream's whole events to the caller, from one server or several in turn. */
internal class StreamRelay(private val answer: ResponseWriter) {
    private val events = EventSplitter()
    private var servers = 0

    /** The last event that the caller has been sent; null before the first. */
    val lastEventId: String? get() = events.lastEventId

    /** Whether the caller has been sent the head of the answer. */
    val isStarted: Boolean get() = answer.isStarted

    /** Whether no event is cut in two. */
    val isWhole: Boolean get() = !events.hasPartialEvent

    /** Whether the whole stream so far came from one server. */
    val isFromOneServer: Boolean get() = servers == 1

    /** Writes the head, unless a server before has given one. */
    suspend fun begin(status: Int, headers: HttpHeaders) {
        events.dropPartial()
        servers++
        if (!answer.isStarted) answer.start(status, headers)
    }

    /** Bytes held back since their event has not ended. */
    val pendingBytes: Int get() = events.pendingBytes

    /** Passes on what is whole with [bytes]. Returns whether anything was. */
    suspend fun pass(bytes: ByteArray): Boolean {
        val whole = events.add(bytes)
        if (whole.isEmpty()) return false
        answer.send(whole)
        return true
    }

    suspend fun end() = answer.end()
}
