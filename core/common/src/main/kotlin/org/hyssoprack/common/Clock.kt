package org.hyssoprack.common

/** Source of time for the whole system, in milliseconds. */
interface Clock {
    /** Monotonic time in milliseconds; only differences within one process are meaningful. */
    fun nowMs(): Long

    /** Wall-clock time in milliseconds since the epoch; may jump. */
    fun epochMs(): Long
}

/**
 * Returns the time until [Clock.nowMs] is the next multiple of [periodMs], in milliseconds. Periodic
 * tasks that wait for it run at the same time, so that the process wakes up once for all of them.
 */
fun Clock.msUntilMultipleOf(periodMs: Long): Long = periodMs - Math.floorMod(nowMs(), periodMs)
