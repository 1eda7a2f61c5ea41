package org.hyssoprack.serving.settings

import org.hyssoprack.common.Clock

/**
 * A point in time on both clocks of a host. A suspended machine's monotonic clock stands still and
 * its time of day may jump, so that neither alone tells how much time has passed.
 */
data class ClockReading(val monotonicMs: Long, val epochMs: Long) {
    /** Time passed since this moment by the clock that says more, in milliseconds. */
    fun ageMs(clock: Clock): Long = maxOf(clock.nowMs() - monotonicMs, clock.epochMs() - epochMs, 0)

    /** The moment [ms] before this one. */
    fun before(ms: Long) = ClockReading(monotonicMs = monotonicMs - ms, epochMs = epochMs - ms)

    companion object {
        fun now(clock: Clock) = ClockReading(monotonicMs = clock.nowMs(), epochMs = clock.epochMs())
    }
}
