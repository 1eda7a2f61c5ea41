package org.hyssoprack.serving.placement

import org.hyssoprack.common.Clock

/** Tracks the health of a backend server by the results of its calls. */
internal class ServerHealth(private val clock: Clock) {
    private var consecutiveFailures = 0
    private var lastActivityMs = clock.nowMs()
    private var outstandingSinceMs: Long? = null
    private var backoffUntilMs = Long.MIN_VALUE

    /** Whether the server failed recently or stopped responding. */
    val isSuspect: Boolean
        get() {
            val nowMs = clock.nowMs()
            if (nowMs < backoffUntilMs) return true
            val outstandingSince = outstandingSinceMs ?: return false
            return nowMs - maxOf(outstandingSince, lastActivityMs) > NO_DATA_MS
        }

    /** Records that a request was sent. */
    fun recordRequestSent() {
        if (outstandingSinceMs == null) outstandingSinceMs = clock.nowMs()
    }

    /** Records that no request is in progress. */
    fun recordIdle() {
        outstandingSinceMs = null
    }

    fun recordActivity() {
        lastActivityMs = clock.nowMs()
    }

    fun recordSuccess() {
        consecutiveFailures = 0
        backoffUntilMs = Long.MIN_VALUE
    }

    /** Records a failed call. The backoff doubles with each further failure in a row. */
    fun recordFailure() {
        consecutiveFailures++
        if (consecutiveFailures < FAILURES_BEFORE_BACKOFF) return
        val doublings = minOf(consecutiveFailures - FAILURES_BEFORE_BACKOFF, MAX_BACKOFF_DOUBLINGS)
        backoffUntilMs = clock.nowMs() + (BACKOFF_MS shl doublings)
    }

    /** Records that the server does not respond to another host. */
    fun markUnresponsive() {
        backoffUntilMs = maxOf(backoffUntilMs, clock.nowMs() + NO_DATA_MS)
    }

    /** Records that the server is unreachable, which starts the backoff immediately. */
    fun recordUnreachable() {
        consecutiveFailures = maxOf(consecutiveFailures, FAILURES_BEFORE_BACKOFF - 1)
        recordFailure()
    }

    private companion object {
        // Longer than any pause between events of a healthy server; well below the two seconds
        // after which callers abandon a stream without data.
        const val NO_DATA_MS = 700L

        // More than one, so that a server with occasional failures keeps its traffic.
        const val FAILURES_BEFORE_BACKOFF = 3
        const val BACKOFF_MS = 250L
        const val MAX_BACKOFF_DOUBLINGS = 3
    }
}
