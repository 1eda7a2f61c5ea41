package org.hyssoprack.serving.limits

/** Sum over a sliding time window, kept in slices. Times are in milliseconds of one clock. */
class SlidingWindowSum(private val windowMs: Long, slices: Int = SLICES) {
    private val sliceMs = (windowMs / slices).coerceAtLeast(1)
    private val retained = ArrayDeque<Slice>()
    private var sum = 0.0

    /** Sum of all amounts that were ever added. */
    var lifetimeTotal = 0.0
        private set

    private class Slice(val startMs: Long, var amount: Double)

    /** Adds [amount] at [nowMs]. */
    fun add(nowMs: Long, amount: Double) {
        removeExpired(nowMs)
        val startMs = nowMs - Math.floorMod(nowMs, sliceMs)
        val last = retained.lastOrNull()
        if (last != null && last.startMs >= startMs) {
            last.amount += amount
        } else {
            retained += Slice(startMs, amount)
        }
        sum += amount
        lifetimeTotal += amount
    }

    /**
     * Returns the sum over the window that ends at [nowMs]; a slice counts until all of it has left
     * the window.
     */
    fun total(nowMs: Long): Double {
        removeExpired(nowMs)
        return sum
    }

    /** Returns the slices of the window that ends at [nowMs], oldest first. */
    fun slices(nowMs: Long): List<UsageSlice> {
        removeExpired(nowMs)
        return retained.map { UsageSlice(it.startMs, it.amount) }
    }

    private fun removeExpired(nowMs: Long) {
        while (retained.isNotEmpty() && retained.first().startMs + sliceMs <= nowMs - windowMs) {
            sum -= retained.removeFirst().amount
        }
    }

    private companion object {
        const val SLICES = 20
    }
}
