package org.hyssoprack.settings

import kotlin.random.Random

/** Schedules reads of the accepted row: about every 2 s, and with backoff after failures. */
internal class RowPollSchedule(private val random: Random) {
    private var nextAtMs = Long.MIN_VALUE
    private var inFlight = 0
    private var failures = 0

    /** Returns true if a read is to start at [nowMs], and schedules the next one. */
    fun isDue(nowMs: Long): Boolean {
        if (nowMs < nextAtMs || inFlight >= MAX_IN_FLIGHT) return false
        inFlight++
        nextAtMs = nowMs + random.nextLong(MIN_PERIOD_MS, MAX_PERIOD_MS)
        return true
    }

    fun succeeded() {
        inFlight--
        failures = 0
    }

    fun failed(nowMs: Long) {
        inFlight--
        val pauseMs = minOf(FIRST_PAUSE_MS shl minOf(failures, MAX_SHIFT), MIN_PERIOD_MS)
        failures++
        nextAtMs = minOf(nextAtMs, nowMs + random.nextLong(pauseMs / 2, pauseMs))
    }

    fun pollNow() {
        if (failures == 0) nextAtMs = Long.MIN_VALUE
    }

    private companion object {
        const val MIN_PERIOD_MS = 1_700L
        const val MAX_PERIOD_MS = 2_100L
        const val FIRST_PAUSE_MS = 200L
        const val MAX_SHIFT = 4

        /**
         * A second read may start before the first ends, so that a slow store does not extend the
         * period.
         */
        const val MAX_IN_FLIGHT = 2
    }
}
