package org.hyssoprack.gateway.forwarding

import io.netty.handler.codec.http.HttpHeaders
import org.hyssoprack.common.Clock
import org.hyssoprack.gateway.AnswerWriter

/** Passes a stream's whole events to the caller, from one server or several in turn. */
internal class StreamRelay(private val answer: AnswerWriter, private val clock: Clock) {
    private val events = EventSplitter()
    private var firstMs = 0L
    private var lastMs = 0L
    private var passes = 0

    /** The last event that the caller has been sent; null before the first. */
    val lastEventId: String? get() = events.lastEventId

    /** Whether the caller has been sent the head of the answer. */
    val isStarted: Boolean get() = answer.isStarted

    /** Whether no event is cut in two. */
    val isWhole: Boolean get() = !events.hasPartialEvent

    /** Writes the head, unless a server before has given one. */
    suspend fun begin(status: Int, headers: HttpHeaders) {
        events.dropPartial()
        if (!answer.isStarted) answer.start(status, headers)
    }

    /** Passes on what is whole with [bytes]. */
    suspend fun pass(bytes: ByteArray) {
        val whole = events.add(bytes)
        if (whole.isEmpty()) return
        lastMs = clock.nowMs()
        if (passes == 0) firstMs = lastMs
        passes++
        answer.send(whole)
    }

    suspend fun end() = answer.end()

    /** Mean time between two events, in milliseconds; null if there were too few. */
    fun pauseMs(): Double? {
        if (passes < MIN_PASSES) return null
        return (lastMs - firstMs).toDouble() / (passes - 1)
    }

    private companion object {
        // Fewer events say little about a server's pace.
        const val MIN_PASSES = 4
    }
}
