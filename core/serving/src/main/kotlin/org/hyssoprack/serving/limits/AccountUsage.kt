package org.hyssoprack.serving.limits

/**
 * One account's usage in the window as counted by a [QuotaLedger]. Usage from before the ledger's
 * start comes from two sources that cover the same requests, the restored records and the reports
 * of hosts that ran before the records were written, so only the larger of the two counts.
 */
internal class AccountUsage(private val windowMs: Long) {
    /** Usage that this ledger admitted. */
    val admitted = SlidingWindowSum(windowMs)

    /** Usage that hosts reported beyond what this ledger had admitted for them. */
    val reported = SlidingWindowSum(windowMs)

    /** The same of hosts that started after the restored records were written. */
    val reportedSince = SlidingWindowSum(windowMs)
    private var restored = SlidingWindowSum(windowMs)

    /** Total usage counted since this ledger's start. */
    val lifetimeTotal: Double
        get() = admitted.lifetimeTotal + reported.lifetimeTotal + reportedSince.lifetimeTotal

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

    fun total(nowMs: Long): Double = counted(nowMs) + unreported(nowMs)

    /** Returns the usage in the window that this ledger admitted or that hosts reported. */
    fun counted(nowMs: Long): Double =
        admitted.total(nowMs) + reported.total(nowMs) + reportedSince.total(nowMs)

    /** Returns the restored usage in the window beyond what hosts have reported. */
    fun unreported(nowMs: Long): Double =
        (restored.total(nowMs) - reported.total(nowMs)).coerceAtLeast(0.0)

    /** Returns the usage in the window as time slices, oldest first. */
    fun slices(nowMs: Long): List<UsageSlice> {
        val earlier = if (reported.total(nowMs) >= restored.total(nowMs)) reported else restored
        return listOf(admitted, reportedSince, earlier).flatMap { it.slices(nowMs) }
            .sortedBy { it.startMs }
    }

    private companion object {
        const val EVEN_SLICES = 20
    }
}
