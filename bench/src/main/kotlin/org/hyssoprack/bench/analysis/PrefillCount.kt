package org.hyssoprack.bench.analysis

import kotlinx.serialization.Serializable

/** Prompt tokens that the engines processed, in total and wasted by cause. */
@Serializable
data class PrefillCount(val total: Long, val wasted: Map<WasteCause, Long>) {
    /** Share of the tokens that was wasted, from 0 to 1. */
    val wastedShare: Double get() = share(wasted.values.sum())

    /** Wasted share without repeated prefixes: prefill of runs that did not complete. */
    val thrownAwayShare: Double
        get() = share(wasted.filterKeys { it != WasteCause.PREFIX_REPEATED }.values.sum())

    private fun share(tokens: Long): Double = if (total == 0L) 0.0 else tokens.toDouble() / total
}
