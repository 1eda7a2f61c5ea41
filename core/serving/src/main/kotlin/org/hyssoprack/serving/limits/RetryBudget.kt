package org.hyssoprack.serving.limits

import org.hyssoprack.common.Clock
import org.hyssoprack.common.ServiceId

/**
 * Bounds how often this host sends requests a second time. All hosts together may repeat
 * [ratio] of the requests to a service, and [slack] beyond that in a window; each host uses its
 * own requests and an even share of the slack, which needs no agreement.
 *
 * @param hostCount number of hosts that share the slack.
 */
class RetryBudget(
    private val clock: Clock,
    private val ratio: () -> Double,
    private val slack: () -> Double,
    private val windowMs: Long,
    private val hostCount: () -> Int
) {
    private val requests = HashMap<ServiceId, SlidingWindowSum>()
    private val retries = HashMap<ServiceId, SlidingWindowSum>()

    /** Counts a caller's request to [service]. */
    fun requested(service: ServiceId) {
        requests.getOrPut(service) { SlidingWindowSum(windowMs) }.add(clock.nowMs(), 1.0)
    }

    /** Takes one repeat out of the budget; false if none is left. */
    fun take(service: ServiceId): Boolean {
        val nowMs = clock.nowMs()
        val used = retries.getOrPut(service) { SlidingWindowSum(windowMs) }
        val asked = requests[service]?.total(nowMs) ?: 0.0
        val allowed = asked * ratio() * SAFETY + slack() * SAFETY / hostCount().coerceAtLeast(1)
        if (used.total(nowMs) + 1 > allowed) return false
        used.add(nowMs, 1.0)
        return true
    }

    private companion object {
        // Windows slide, and hosts that have just started count fewer requests than were sent.
        const val SAFETY = 0.75
    }
}
