package org.hyssoprack.serving.settings

import org.hyssoprack.common.Clock

/**
 * A point in time on the monotonic and the wall clock of a host. The monotonic clock stops while
 * the machine is suspended and the wall clock may jump, so neither alone shows how much time has
 * passed.
 */
data class ClockReading(val monotonicMs: Long, val epochMs: Long) {
    /** Returns the time since this reading by the clock that shows more, in milliseconds. */
    fun ageMs(clock: Clock): Long = maxOf(clock.nowMs() - monotonicMs, clock.epochMs() - epochMs, 0)

    /** Returns the reading [ms] before this one. */
    fun before(ms: Long) = ClockReading(monotonicMs = monotonicMs - ms, epochMs = epochMs - ms)

    companion object {
        fun now(clock: Clock) = ClockReading(monotonicMs = clock.nowMs(), epochMs = clock.epochMs())
    }
}
