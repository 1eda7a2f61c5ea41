package org.hyssoprack.common

/** [Clock] that only advances by calls of [advance], for tests and simulations. */
class ManualClock(private var ms: Long = 0) : Clock {
    override fun nowMs(): Long = ms

    override fun epochMs(): Long = ms

    /** Moves the clock forward by [deltaMs] milliseconds. */
    fun advance(deltaMs: Long) {
        ms += deltaMs
    }
}
