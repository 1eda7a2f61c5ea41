package org.hyssoprack.serving.limits

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.serving.settings.Account

/**
 * Tracks one host's quota usage, and admits requests locally while the ledger's host does not
 * respond: up to an even share of the quota that remained at the ledger's last update. The shares
 * of all hosts add up to at most the remaining quota, however the network is partitioned.
 *
 * @param windowMs length of the quota window in milliseconds.
 * @param hostCount number of hosts that may serve, this one included.
 */
class LocalQuota(
    private val clock: Clock,
    private val windowMs: Long,
    private val hostCount: () -> Int
) {
    private val reportedMs = (windowMs * REPORTED_SHARE).toLong()
    private val used = HashMap<ClientAccount, SlidingWindowSum>()
    private val local = HashMap<ClientAccount, SlidingWindowSum>()

    /**
     * Used share of each account's quota at the ledger's last update; null before the first update.
     */
    var usedShares: Map<ClientAccount, Double>? = null
        private set

    /** Replaces the used shares of quotas with [shares] as sent by the ledger. */
    fun updateUsedShares(shares: Map<ClientAccount, Double>) {
        usedShares = shares
    }

    /** Records [amount] that the ledger admitted for this host; a negative amount reverts it. */
    fun record(account: ClientAccount, amount: Double) {
        used.getOrPut(account) { SlidingWindowSum(reportedMs) }.add(clock.nowMs(), amount)
    }

    /** Charges [amount] without the ledger. Returns false if this host's share is exhausted. */
    fun admitLocally(account: Account, amount: Double): Boolean {
        if (account.ratePerS <= 0) return true
        val nowMs = clock.nowMs()
        val count = local.getOrPut(account.name) { SlidingWindowSum(windowMs) }
        if (count.total(nowMs) + amount > localLimit(account)) return false
        count.add(nowMs, amount)
        record(account.name, amount)
        return true
    }

    /** Refunds [amount] that [admitLocally] charged. */
    fun refundLocally(account: ClientAccount, amount: Double) {
        local[account]?.add(clock.nowMs(), -amount)
        record(account, -amount)
    }

    /** Returns this host's recent usage by account, for its reports to the ledger. */
    fun recent(): Map<ClientAccount, Double> {
        val nowMs = clock.nowMs()
        return used.mapValues { it.value.total(nowMs) }.filterValues { it > 0 }
    }

    private fun localLimit(account: Account): Double {
        // No remaining quota may be assumed before the ledger's first update.
        val shares = usedShares ?: return 0.0
        val left = 1 - (shares[account.name] ?: 0.0)
        val quota = account.ratePerS * windowMs / MS_PER_S + account.burst
        return left * quota / hostCount().coerceAtLeast(1)
    }

    companion object {
        private const val MS_PER_S = 1_000.0

        /**
         * Share of the window that reports cover. The rest allows for a report's delivery time, so
         * that everything reported still lies within the ledger's own window.
         */
        const val REPORTED_SHARE = 0.95
    }
}
