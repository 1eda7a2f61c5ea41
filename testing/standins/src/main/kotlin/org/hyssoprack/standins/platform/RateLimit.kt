package org.hyssoprack.standins.platform

import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock

/** Allows at most [perSecond] calls a second with a burst of one second's worth; 0 allows all. */
class RateLimit(private val perSecond: Int, private val clock: Clock = SystemClock) {
    private var tokens = perSecond.toDouble()
    private var filledMs = clock.nowMs()

    /** Takes one call's worth; false if the limit is reached. */
    @Synchronized
    fun tryTake(): Boolean {
        if (perSecond == 0) return true
        fill()
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    private fun fill() {
        val now = clock.nowMs()
        tokens += perSecond * (now - filledMs) / MS_PER_SECOND
        tokens = tokens.coerceAtMost(perSecond.toDouble())
        filledMs = now
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
