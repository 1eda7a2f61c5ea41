package org.hyssoprack.burn

/** Counts of one time span that starts at [startMs], in milliseconds since the epoch. */
internal class BurnBucket(val startMs: Long) {
    private val counts = HashMap<BurnKey, LongArray>()

    fun add(key: BurnKey, ending: Ending) {
        numbers(key)[ending.ordinal]++
    }

    /** Keeps the [maxKeys] keys that missed most and adds up the others by tier. */
    fun shrink(maxKeys: Int) {
        if (counts.size <= maxKeys) return
        val order = compareByDescending<BurnKey> { EndingCounts.of(counts.getValue(it)).bad }
            .thenByDescending { EndingCounts.of(counts.getValue(it)).total }
        for (key in counts.keys.sortedWith(order).drop(maxKeys)) {
            if (key.account == BurnKey.OTHERS) continue
            val sum = numbers(key.ofOthers())
            counts.remove(key)!!.forEachIndexed { index, count -> sum[index] += count }
        }
    }

    fun counts(): Map<BurnKey, EndingCounts> = counts.mapValues { EndingCounts.of(it.value) }

    private fun numbers(key: BurnKey) = counts.getOrPut(key) { LongArray(Ending.entries.size) }
}
