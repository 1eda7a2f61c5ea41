package org.hyssoprack.store.http

import org.hyssoprack.common.Clock

/**
 * Blocks calls for a while after [failures] consecutive failures, so that a failing service is not
 * called continuously. Allows one trial call after each pause.
 */
internal class CircuitBreaker(
    private val clock: Clock,
    private val failures: Int,
    private val openMs: Long
) {
    private var consecutiveFailures = 0
    private var openUntilMs = Long.MIN_VALUE

    /** Milliseconds until the next call is allowed; 0 if the caller may call now. */
    @Synchronized
    fun waitMs(): Long {
        if (consecutiveFailures < failures) return 0
        val now = clock.nowMs()
        if (now < openUntilMs) return openUntilMs - now
        openUntilMs = now + openMs
        return 0
    }

    /** Records that the service responded. */
    @Synchronized
    fun recordSuccess() {
        consecutiveFailures = 0
    }

    /** Records that a call failed or was rejected by the rate limit; blocks for [pauseMs]. */
    @Synchronized
    fun recordFailure(pauseMs: Long = openMs) {
        consecutiveFailures++
        openUntilMs = clock.nowMs() + pauseMs
    }
}
