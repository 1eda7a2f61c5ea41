package org.hyssoprack.burn

import kotlinx.serialization.Serializable

/** How urgently a tier needs attention. */
@Serializable
enum class BurnStatus(val label: String) {
    /** The error budget lasts for its period. */
    OK("ok"),

    /** At this rate the budget of a month is used up within days. */
    SLOW_BURN("slow burn"),

    /** At this rate the budget of a month is used up within two days or less. */
    FAST_BURN("FAST BURN");

    companion object {
        private const val FAST_RATE = 14.4
        private const val SLOW_RATE = 6.0
        private const val MAX_RATE_SHARE = 0.5

        /**
         * Returns the status for burn [rates] against [objective]. Two windows must exceed a
         * threshold, so that neither a short burst nor a fault that ended long ago raises the
         * status.
         */
        fun of(rates: Map<BurnWindow, Double>, objective: Double): BurnStatus {
            // The burn rate is at most 1 / (1 - objective): low objectives need lower thresholds.
            val limit = MAX_RATE_SHARE / (1 - objective)
            val short = rates.getValue(BurnWindow.SHORT)
            val middle = rates.getValue(BurnWindow.MIDDLE)
            val long = rates.getValue(BurnWindow.LONG)
            return when {
                minOf(short, middle) >= minOf(FAST_RATE, limit) -> FAST_BURN
                minOf(middle, long) >= minOf(SLOW_RATE, limit) -> SLOW_BURN
                else -> OK
            }
        }
    }
}
