package org.hyssoprack.serving.limits

/**
 * What a ledger knows of one account's use in the window. Use before the ledger began is known in two
 * ways that tell of the same requests, so only the larger one counts.
 */
internal class AccountUsage(private val windowMs: Long) {
    /** Admitted by this ledger. */
    val admitted = SlidingWindowSum(windowMs)

    /** Told by hosts beyond what this ledger had admitted for them. */
    val reported = SlidingWindowSum(windowMs)
    private var restored = SlidingWindowSum(windowMs)

    /** Everything that was counted since this ledger began. */
    val lifetimeTotal: Double get() = admitted.lifetimeTotal + reported.lifetimeTotal

    fun restore(slices: List<UsageSlice>) {
        restored = SlidingWindowSum(windowMs)
        slices.forEach { restored.add(it.startMs, it.amount) }
    }

    /** Counts no less than [amount] in the window that ends now, as evenly used. */
    fun inherit(nowMs: Long, amount: Double) {
        val beside = amount - admitted.total(nowMs)
        if (beside <= restored.total(nowMs)) return
        restore(
            (1..EVEN_SLICES).map {
                UsageSlice(nowMs - windowMs + windowMs * it / EVEN_SLICES, beside / EVEN_SLICES)
            }
        )
    }

    fun total(nowMs: Long): Double =
        admitted.total(nowMs) + maxOf(reported.total(nowMs), restored.total(nowMs))

    /** The use in the window by time, the oldest first. */
    fun slices(nowMs: Long): List<UsageSlice> {
        val before = if (reported.total(nowMs) >= restored.total(nowMs)) reported else restored
        return (admitted.slices(nowMs) + before.slices(nowMs)).sortedBy { it.startMs }
    }

    private companion object {
        const val EVEN_SLICES = 20
    }
}
