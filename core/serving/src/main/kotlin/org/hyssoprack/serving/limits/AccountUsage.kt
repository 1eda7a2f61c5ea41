package org.hyssoprack.serving.limits

/**
 * One account's usage in the window as counted by a [QuotaLedger]. Usage from before the ledger's
 * start comes from two sources that cover the same requests, the hosts' reports and the restored
 * records, so only the larger of the two counts.
 */
internal class AccountUsage(private val windowMs: Long) {
    /** Usage that this ledger admitted. */
    val admitted = SlidingWindowSum(windowMs)

    /** Usage that hosts reported beyond what this ledger had admitted for them. */
    val reported = SlidingWindowSum(windowMs)
    private var restored = SlidingWindowSum(windowMs)

    /** Total usage counted since this ledger's start. */
    val lifetimeTotal: Double get() = admitted.lifetimeTotal + reported.lifetimeTotal

    fun restore(slices: List<UsageSlice>) {
        restored = SlidingWindowSum(windowMs)
        slices.forEach { restored.add(it.startMs, it.amount) }
    }

    /** Raises the usage in the window that ends now to at least [amount], spread evenly over it. */
    fun inherit(nowMs: Long, amount: Double) {
        val remaining = amount - admitted.total(nowMs)
        if (remaining <= restored.total(nowMs)) return
        restore(
            (1..EVEN_SLICES).map {
                UsageSlice(nowMs - windowMs + windowMs * it / EVEN_SLICES, remaining / EVEN_SLICES)
            }
        )
    }

    fun total(nowMs: Long): Double =
        admitted.total(nowMs) + maxOf(reported.total(nowMs), restored.total(nowMs))

    /** Returns the usage in the window as time slices, oldest first. */
    fun slices(nowMs: Long): List<UsageSlice> {
        val earlier = if (reported.total(nowMs) >= restored.total(nowMs)) reported else restored
        return (admitted.slices(nowMs) + earlier.slices(nowMs)).sortedBy { it.startMs }
    }

    private companion object {
        const val EVEN_SLICES = 20
    }
}
