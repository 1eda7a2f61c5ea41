package org.hyssoprack.scheduling

/** Compares how long something takes lately with how long it used to take. */
internal class LatencyTrend {
    private val recentMs = Ewma(RECENT_WEIGHT)
    private val historyMs = Ewma(HISTORY_WEIGHT)

    /** Recent value in milliseconds, or null if unknown. */
    val recent: Double? get() = recentMs.value

    /** Takes in a value; the history rises slowly, and only if [isNormal]. */
    fun add(valueMs: Double, isNormal: Boolean) {
        recentMs.add(valueMs)
        if (!isNormal) return
        val known = historyMs.value?.takeIf { historyMs.count >= HISTORY_MIN_COUNT }
        historyMs.add(minOf(valueMs, known?.times(HISTORY_MAX_RISE) ?: valueMs))
    }

    /** How many times slower than its history or its peers it is; null if there is no reference. */
    fun slowdown(peersMs: Double?): Double? {
        val recent = recentMs.value ?: return null
        val known = historyMs.value?.takeIf { historyMs.count >= HISTORY_MIN_COUNT }
        val reference = listOfNotNull(known, peersMs).minOrNull() ?: return null
        return recent / reference.coerceAtLeast(MIN_REFERENCE_MS)
    }

    private companion object {
        const val RECENT_WEIGHT = 0.4
        const val HISTORY_WEIGHT = 0.02
        const val HISTORY_MIN_COUNT = 5
        const val HISTORY_MAX_RISE = 1.5
        const val MIN_REFERENCE_MS = 0.001
    }
}
