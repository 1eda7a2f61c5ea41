package org.hyssoprack.burn

/**
 * Ring of the latest buckets of equal length. All but the open bucket are limited to [maxKeys] keys
 * and one aggregate by tier, which bounds the memory used when there are many client accounts.
 */
internal class BucketRing(
    private val bucketMs: Long,
    private val size: Int,
    private val maxKeys: Int
) {
    private val buckets = ArrayDeque<BurnBucket>()

    fun add(key: BurnKey, outcome: SloOutcome, nowMs: Long) = openBucket(nowMs).add(key, outcome)

    /** Returns the buckets that began after [fromMs], the oldest first. */
    fun since(fromMs: Long): List<BurnBucket> = buckets.filter { it.startMs > fromMs }

    private fun openBucket(nowMs: Long): BurnBucket {
        val startMs = nowMs - nowMs.mod(bucketMs)
        val last = buckets.lastOrNull()
        // If the wall clock was set back, counting continues in the open bucket.
        if (last != null && startMs <= last.startMs) return last
        last?.shrink(maxKeys)
        val bucket = BurnBucket(startMs)
        buckets += bucket
        while (buckets.size > size) buckets.removeFirst()
        return bucket
    }
}
