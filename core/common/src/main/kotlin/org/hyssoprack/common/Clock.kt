package org.hyssoprack.common

/** Source of time for the whole system, in milliseconds. */
interface Clock {
    /** Monotonic time in milliseconds; only differences within one process are meaningful. */
    fun nowMs(): Long

    /** Wall-clock time in milliseconds since the epoch; may jump. */
    fun epochMs(): Long
}
