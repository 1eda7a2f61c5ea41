package org.hyssoprack.standins.platform

import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock

/** Token bucket of [perSecond] calls per second with a burst of one second; 0 allows all calls. */
class RateLimiter(private val perSecond: Int, private val clock: Clock = SystemClock) {
    private var tokens = perSecond.toDouble()
    private var refilledAtMs = clock.nowMs()

    /** Takes one token; returns false if none is left. */
    @Synchronized
    fun tryAcquire(): Boolean {
        if (perSecond == 0) return true
        refill()
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    private fun refill() {
        val now = clock.nowMs()
        tokens += perSecond * (now - refilledAtMs) / MS_PER_SECOND
        tokens = tokens.coerceAtMost(perSecond.toDouble())
        refilledAtMs = now
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
