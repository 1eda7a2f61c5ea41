package org.hyssoprack.burn

/**
 * The latest buckets of equal length. All but the open bucket are shrunk, which bounds the memory
 * that many client accounts can take.
 */
internal class BucketRing(
    private val bucketMs: Long,
    private val size: Int,
    private val maxKeys: Int
) {
    private val buckets = ArrayDeque<BurnBucket>()

    fun add(key: BurnKey, ending: SloOutcome, nowMs: Long) = open(nowMs).add(key, ending)

    /** Buckets that began after [fromMs], the oldest first. */
    fun since(fromMs: Long): List<BurnBucket> = buckets.filter { it.startMs > fromMs }

    private fun open(nowMs: Long): BurnBucket {
        val startMs = nowMs - nowMs.mod(bucketMs)
        val last = buckets.lastOrNull()
        // A wall clock that was set back goes on with the open bucket.
        if (last != null && startMs <= last.startMs) return last
        last?.shrink(maxKeys)
        val bucket = BurnBucket(startMs)
        buckets += bucket
        while (buckets.size > size) buckets.removeFirst()
        return bucket
    }
}
