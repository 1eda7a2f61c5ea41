package org.hyssoprack.scheduling

/** Compares the recent mean of a latency with its long-term baseline. */
internal class LatencyTrend {
    private val recentMs = Ewma(RECENT_WEIGHT)
    private val baselineMs = Ewma(BASELINE_WEIGHT)

    /** Recent mean in milliseconds, or null before the first value. */
    val recent: Double? get() = recentMs.value

    /** Adds a value; the baseline rises slowly, and only if [isNormal]. */
    fun add(valueMs: Double, isNormal: Boolean) {
        recentMs.add(valueMs)
        if (!isNormal) return
        val baseline = baselineMs.value?.takeIf { baselineMs.count >= BASELINE_MIN_COUNT }
        baselineMs.add(minOf(valueMs, baseline?.times(BASELINE_MAX_RISE) ?: valueMs))
    }

    /**
     * Returns the recent mean as a multiple of the baseline or [peersMs], whichever is lower; null
     * if there is neither.
     */
    fun slowdown(peersMs: Double?): Double? {
        val recent = recentMs.value ?: return null
        val baseline = baselineMs.value?.takeIf { baselineMs.count >= BASELINE_MIN_COUNT }
        val reference = listOfNotNull(baseline, peersMs).minOrNull() ?: return null
        return recent / reference.coerceAtLeast(MIN_REFERENCE_MS)
    }

    private companion object {
        const val RECENT_WEIGHT = 0.4
        const val BASELINE_WEIGHT = 0.02
        const val BASELINE_MIN_COUNT = 5
        const val BASELINE_MAX_RISE = 1.5
        const val MIN_REFERENCE_MS = 0.001
    }
}
