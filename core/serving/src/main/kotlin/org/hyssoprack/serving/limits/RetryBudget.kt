package org.hyssoprack.serving.limits

import org.hyssoprack.common.Clock
import org.hyssoprack.common.ServiceId

/**
 * Limits how many requests this host retries. In a window, all hosts together may retry [ratio] of
 * the requests to a service plus [slack] requests. Each host applies the ratio to its own requests
 * and uses an even share of the slack, which needs no coordination.
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
    fun recordRequest(service: ServiceId) {
        requests.getOrPut(service) { SlidingWindowSum(windowMs) }.add(clock.nowMs(), 1.0)
    }

    /** Returns whether the budget has a retry left. */
    fun isAvailable(service: ServiceId): Boolean {
        val nowMs = clock.nowMs()
        val requested = requests[service]?.total(nowMs) ?: 0.0
        val allowed = requested * ratio() * SAFETY + slack() * SAFETY / hostCount().coerceAtLeast(1)
        return (retries[service]?.total(nowMs) ?: 0.0) + 1 <= allowed
    }

    /** Consumes one retry from the budget. Returns false if none is left. */
    fun tryAcquire(service: ServiceId): Boolean {
        if (!isAvailable(service)) return false
        retries.getOrPut(service) { SlidingWindowSum(windowMs) }.add(clock.nowMs(), 1.0)
        return true
    }

    /** Returns a retry that was consumed just before and not used. */
    fun giveBack(service: ServiceId) {
        retries[service]?.add(clock.nowMs(), -1.0)
    }

    private companion object {
        // Safety margin, since windows slide and a host that just started has counted fewer
        // requests than were sent.
        const val SAFETY = 0.75
    }
}
