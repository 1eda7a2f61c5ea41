package org.hyssoprack.burn

/** Counts of one time span that starts at [startMs], in milliseconds since the epoch. */
internal class BurnBucket(val startMs: Long) {
    private val counts = HashMap<BurnKey, LongArray>()

    fun add(key: BurnKey, ending: SloOutcome) {
        numbers(key)[ending.ordinal]++
    }

    /** Keeps the [maxKeys] keys that missed most and adds up the others by tier. */
    fun shrink(maxKeys: Int) {
        if (counts.size <= maxKeys) return
        val order = compareByDescending<BurnKey> { SloOutcomeCounts.of(counts.getValue(it)).bad }
            .thenByDescending { SloOutcomeCounts.of(counts.getValue(it)).total }
        for (key in counts.keys.sortedWith(order).drop(maxKeys)) {
            if (key.account == BurnKey.OTHERS) continue
            val sum = numbers(key.ofOthers())
            counts.remove(key)!!.forEachIndexed { index, count -> sum[index] += count }
        }
    }

    fun counts(): Map<BurnKey, SloOutcomeCounts> = counts.mapValues {
        SloOutcomeCounts.of(it.value)
    }

    private fun numbers(key: BurnKey) = counts.getOrPut(key) { LongArray(SloOutcome.entries.size) }
}
