package org.hyssoprack.serving.limits

/** Sum over a sliding window of time, kept in slices; times are in milliseconds of one clock. */
class SlidingWindowSum(private val windowMs: Long, slices: Int = SLICES) {
    private val sliceMs = (windowMs / slices).coerceAtLeast(1)
    private val counts = ArrayDeque<Slice>()
    private var sum = 0.0

    /** Everything that was ever counted. */
    var lifetimeTotal = 0.0
        private set

    private class Slice(val startMs: Long, var amount: Double)

    /** Counts [amount] at [nowMs]. */
    fun add(nowMs: Long, amount: Double) {
        forget(nowMs)
        val startMs = nowMs - Math.floorMod(nowMs, sliceMs)
        val last = counts.lastOrNull()
        if (last != null && last.startMs >= startMs) {
            last.amount += amount
        } else {
            counts += Slice(startMs, amount)
        }
        sum += amount
        lifetimeTotal += amount
    }

    /** The sum over the window that ends at [nowMs]; counts a slice until all of it is over. */
    fun total(nowMs: Long): Double {
        forget(nowMs)
        return sum
    }

    /** The slices of the window that ends at [nowMs], the oldest first. */
    fun slices(nowMs: Long): List<UsageSlice> {
        forget(nowMs)
        return counts.map { UsageSlice(it.startMs, it.amount) }
    }

    private fun forget(nowMs: Long) {
        while (counts.isNotEmpty() && counts.first().startMs + sliceMs <= nowMs - windowMs) {
            sum -= counts.removeFirst().amount
        }
    }

    private companion object {
        const val SLICES = 20
    }
}
