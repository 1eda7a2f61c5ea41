package org.hyssoprack.serving.limits

/**
 * One account's usage in the window as counted by a [QuotaLedger]. Several sources tell of usage that
 * this ledger did not admit, and cover the same requests in part. Recorded usage and the reports of
 * hosts that ran before it was written overlap, so only the larger counts. Inherited usage, which a
 * previous ledger told of, overlaps with all other sources together.
 */
internal class AccountUsage(private val windowMs: Long) {
    /** Usage that this ledger admitted. */
    val admitted = SlidingWindowSum(windowMs)

    /** Usage that hosts reported beyond what this ledger had admitted for them. */
    val reported = SlidingWindowSum(windowMs)

    /** The same of hosts that started after the recorded usage was written. */
    val reportedSince = SlidingWindowSum(windowMs)
    private var recorded = SlidingWindowSum(windowMs)
    private var inherited = SlidingWindowSum(windowMs)

    /** Total usage counted since this ledger's start. */
    val lifetimeTotal: Double
        get() = admitted.lifetimeTotal + reported.lifetimeTotal + reportedSince.lifetimeTotal

    fun restore(slices: List<UsageSlice>) {
        recorded = sumOf(slices)
    }

    /** Raises the usage in the window that ends now to at least [amount], spread evenly over it. */
    fun inherit(nowMs: Long, amount: Double) {
        if (amount <= total(nowMs)) return
        val remaining = amount - admitted.total(nowMs)
        inherited = sumOf(
            (1..EVEN_SLICES).map {
                UsageSlice(nowMs - windowMs + windowMs * it / EVEN_SLICES, remaining / EVEN_SLICES)
            }
        )
    }

    fun total(nowMs: Long): Double = counted(nowMs) + unreported(nowMs)

    /** Returns the usage in the window that this ledger admitted or that hosts reported. */
    fun counted(nowMs: Long): Double =
        admitted.total(nowMs) + reported.total(nowMs) + reportedSince.total(nowMs)

    /** Returns the recorded or inherited usage in the window beyond what hosts have reported. */
    fun unreported(nowMs: Long): Double {
        val before = reported.total(nowMs)
        val beyondRecord = recorded.total(nowMs) - before
        val beyondInherited = inherited.total(nowMs) - before - reportedSince.total(nowMs)
        return maxOf(beyondRecord, beyondInherited, 0.0)
    }

    /** Returns the usage in the window as time slices, oldest first. */
    fun slices(nowMs: Long): List<UsageSlice> {
        val before = listOf(reported, recorded).maxBy { it.total(nowMs) }
        val beforeAndSince = before.total(nowMs) + reportedSince.total(nowMs)
        val isInheritedMore = inherited.total(nowMs) > beforeAndSince
        val earlier = if (isInheritedMore) listOf(inherited) else listOf(before, reportedSince)
        return (earlier + admitted).flatMap { it.slices(nowMs) }.sortedBy { it.startMs }
    }

    private fun sumOf(slices: List<UsageSlice>) = SlidingWindowSum(windowMs)
        .apply { slices.forEach { add(it.startMs, it.amount) } }

    private companion object {
        const val EVEN_SLICES = 20
    }
}
