package org.hyssoprack.store.http

import org.hyssoprack.common.Clock

/**
 * Holds calls back for a while after several failures in a row, so that a service in trouble is
 * not asked all the time. One trial call is let through when the pause is over.
 */
internal class CircuitBreaker(
    private val clock: Clock,
    private val failures: Int,
    private val openMs: Long
) {
    private var failed = 0
    private var openUntilMs = Long.MIN_VALUE

    /** Milliseconds until the next call is allowed; 0 allows it now. */
    @Synchronized
    fun waitMs(): Long {
        if (failed < failures) return 0
        val now = clock.nowMs()
        if (now < openUntilMs) return openUntilMs - now
        openUntilMs = now + openMs
        return 0
    }

    /** Notes that the service answered. */
    @Synchronized
    fun succeeded() {
        failed = 0
    }

    /** Notes that the service did not answer, or that it limits the rate of calls. */
    @Synchronized
    fun failed(pauseMs: Long = openMs) {
        failed++
        openUntilMs = clock.nowMs() + pauseMs
    }
}
