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
 * @param recordedShare used share of an account's quota by the record that this host loaded at its
 *   start, including an allowance for what the record lacks; null while it is not loaded. It holds
 *   until the ledger's first update.
 * @param hostCount number of hosts that may serve, this one included.
 */
class LocalQuota(
    private val clock: Clock,
    private val windowMs: Long,
    private val recordedShare: (Account) -> Double? = { null },
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
    fun admitLocally(account: Account, amount: Double): Boolean = admit(account, amount, part = 1.0)

    /**
     * Charges [amount] for a request to which the ledger's host replies late, or whose next host is
     * not known yet. The ledger does not set this host's share aside then.
     */
    fun admitLate(account: Account, amount: Double): Boolean = admit(account, amount, LATE_PART)

    private fun admit(account: Account, amount: Double, part: Double): Boolean {
        if (account.ratePerS <= 0) return true
        val nowMs = clock.nowMs()
        val count = local.getOrPut(account.name) { SlidingWindowSum(windowMs) }
        if (count.total(nowMs) + amount > part * localLimit(account)) return false
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
        val left = 1 - (usedShare(account) ?: return 0.0)
        val quota = account.ratePerS * windowMs / MS_PER_S + account.burst
        return left * quota / hostCount().coerceAtLeast(1)
    }

    /** Returns the used share of the quota as last known; null if nothing is known of it. */
    private fun usedShare(account: Account): Double? {
        val shares = usedShares ?: return recordedShare(account)
        return shares[account.name] ?: 0.0
    }

    companion object {
        private const val MS_PER_S = 1_000.0

        // Keeps what all hosts admit late, until the ledger counts it with their next reports, within
        // the tolerance that the ledger leaves free.
        private const val LATE_PART = 0.5

        /**
         * Share of the window that reports cover. The rest allows for a report's delivery time, so
         * that everything reported still lies within the ledger's own window.
         */
        const val REPORTED_SHARE = 0.95
    }
}
