package org.hyssoprack.serving.limits

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.serving.settings.Account

/**
 * What one host uses of quotas, and what it may admit by itself while the host that keeps the ledger
 * does not answer: an even part of what was left when that was last heard. Those parts over all hosts
 * add up to no more than what was left, whichever hosts are cut off from which.
 *
 * @param windowMs window over which quotas hold.
 * @param hostCount number of hosts that may serve, this one included.
 */
class LocalQuota(
    private val clock: Clock,
    private val windowMs: Long,
    private val hostCount: () -> Int
) {
    private val reportedMs = (windowMs * REPORTED_PART).toLong()
    private val used = HashMap<ClientAccount, SlidingWindowSum>()
    private val alone = HashMap<ClientAccount, SlidingWindowSum>()

    /** Shares of quotas that were taken when the ledger was last heard; null if it never was. */
    var usedShares: Map<ClientAccount, Double>? = null
        private set

    /** Takes in the [shares] of quotas that are taken, as the ledger has them. */
    fun learn(shares: Map<ClientAccount, Double>) {
        usedShares = shares
    }

    /** Records [amount] that the ledger has admitted for this host, or takes it back if negative. */
    fun record(account: ClientAccount, amount: Double) {
        used.getOrPut(account) { SlidingWindowSum(reportedMs) }.add(clock.nowMs(), amount)
    }

    /** Takes [amount] without the ledger; false if this host's part is used up. */
    fun admitLocally(account: Account, amount: Double): Boolean {
        if (account.ratePerS <= 0) return true
        val nowMs = clock.nowMs()
        val count = alone.getOrPut(account.name) { SlidingWindowSum(windowMs) }
        if (count.total(nowMs) + amount > part(account)) return false
        count.add(nowMs, amount)
        record(account.name, amount)
        return true
    }

    /** Gives back [amount] that [admitLocally] took. */
    fun refundLocally(account: ClientAccount, amount: Double) {
        alone[account]?.add(clock.nowMs(), -amount)
        record(account, -amount)
    }

    /** What this host has used lately, for the ledger. */
    fun recent(): Map<ClientAccount, Double> {
        val nowMs = clock.nowMs()
        return used.mapValues { it.value.total(nowMs) }.filterValues { it > 0 }
    }

    private fun part(account: Account): Double {
        // Nothing is known to be left before the first word of the ledger.
        val shares = usedShares ?: return 0.0
        val left = 1 - (shares[account.name] ?: 0.0)
        val quota = account.ratePerS * windowMs / MS_PER_S + account.burst
        return left * quota / hostCount().coerceAtLeast(1)
    }

    companion object {
        private const val MS_PER_S = 1_000.0

        /**
         * Part of the window that reports reach back. The rest covers the time that a report takes,
         * so that the ledger's own count of the window holds all that is reported.
         */
        const val REPORTED_PART = 0.95
    }
}
