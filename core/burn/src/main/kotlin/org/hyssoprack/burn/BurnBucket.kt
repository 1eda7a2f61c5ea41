package org.hyssoprack.burn

/** Counts of one time span that starts at [startMs], in milliseconds since the epoch. */
internal class BurnBucket(val startMs: Long) {
    private val counts = HashMap<BurnKey, LongArray>()

    fun add(key: BurnKey, outcome: SloOutcome) {
        counters(key)[outcome.ordinal]++
    }

    /**
     * Keeps the [maxKeys] keys with the most requests that missed the objective, and aggregates the
     * others by tier.
     */
    fun shrink(maxKeys: Int) {
        if (counts.size <= maxKeys) return
        val order = compareByDescending<BurnKey> { SloOutcomeCounts.of(counts.getValue(it)).missed }
            .thenByDescending { SloOutcomeCounts.of(counts.getValue(it)).total }
        for (key in counts.keys.sortedWith(order).drop(maxKeys)) {
            if (key.account == BurnKey.OTHERS) continue
            val sum = counters(key.toOthers())
            counts.remove(key)!!.forEachIndexed { index, count -> sum[index] += count }
        }
    }

    fun counts(): Map<BurnKey, SloOutcomeCounts> = counts.mapValues {
        SloOutcomeCounts.of(it.value)
    }

    private fun counters(key: BurnKey) = counts.getOrPut(key) { LongArray(SloOutcome.entries.size) }
}
