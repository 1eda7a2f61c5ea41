package org.hyssoprack.serving.placement

import org.hyssoprack.common.Clock

/** Judges a backend server by how its calls go. */
internal class ServerHealth(private val clock: Clock) {
    private var failuresInRow = 0
    private var lastHeardMs = clock.nowMs()
    private var waitingSinceMs: Long? = null
    private var restUntilMs = Long.MIN_VALUE

    /** Whether the server has failed lately or has gone silent. */
    val isSuspect: Boolean
        get() {
            val nowMs = clock.nowMs()
            if (nowMs < restUntilMs) return true
            val waitingSince = waitingSinceMs ?: return false
            return nowMs - maxOf(waitingSince, lastHeardMs) > SILENCE_MS
        }

    /** A request was sent. */
    fun waiting() {
        if (waitingSinceMs == null) waitingSinceMs = clock.nowMs()
    }

    /** No request is in progress. */
    fun idle() {
        waitingSinceMs = null
    }

    fun heard() {
        lastHeardMs = clock.nowMs()
    }

    fun succeeded() {
        failuresInRow = 0
        restUntilMs = Long.MIN_VALUE
    }

    /** A call failed; the server rests longer with each failure in a row. */
    fun failed() {
        failuresInRow++
        if (failuresInRow < FAILURES_BEFORE_REST) return
        val doublings = minOf(failuresInRow - FAILURES_BEFORE_REST, MAX_REST_DOUBLINGS)
        restUntilMs = clock.nowMs() + (REST_MS shl doublings)
    }

    /** Another host finds the server silent. */
    fun markSilent() {
        restUntilMs = maxOf(restUntilMs, clock.nowMs() + SILENCE_MS)
    }

    /** The server cannot be reached; it rests at once. */
    fun unreachable() {
        failuresInRow = maxOf(failuresInRow, FAILURES_BEFORE_REST - 1)
        failed()
    }

    private companion object {
        // Longer than any pause between events of a healthy server; well below the two seconds
        // after which callers give up a silent stream.
        const val SILENCE_MS = 700L

        // A server with occasional failures keeps its traffic.
        const val FAILURES_BEFORE_REST = 3
        const val REST_MS = 250L
        const val MAX_REST_DOUBLINGS = 3
    }
}
