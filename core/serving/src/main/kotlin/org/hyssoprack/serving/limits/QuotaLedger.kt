package org.hyssoprack.serving.limits

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostRef
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.QuotaUnit

/**
 * Keeps accounts within their quotas over all hosts without a coordinator. In any window an account
 * may use its rate times the window, and its burst. Each host counts what it admits itself and what
 * the others say that they have admitted; the share of hosts that are not heard is set aside.
 *
 * @param tolerance what may be used beyond a quota before it counts as broken.
 * @param heardShare share of the known hosts, this one included, that are heard, from 0 to 1.
 */
class QuotaLedger(
    private val clock: Clock,
    private val tolerance: QuotaTolerance,
    private val heardShare: () -> Double
) {
    private val windowMs = tolerance.windowMs
    private val startedMs = clock.nowMs()
    private val used = HashMap<ClientAccount, WindowCount>()
    private val admitted = HashMap<ClientAccount, Double>()
    private val seen = HashMap<HostRef, Map<ClientAccount, Double>>()

    /** What this host has admitted since its start, for the other hosts. */
    fun totals(): Map<ClientAccount, Double> = admitted

    /** Takes [amount] of the quota of [account]; false if it is used up. */
    fun admit(account: Account, amount: Double): Boolean {
        if (account.ratePerS <= 0) return true
        if (usedBefore(account) + amount > limit(account)) return false
        record(account, amount)
        return true
    }

    /** Gives back [amount] for a request that did not run. */
    fun refund(account: Account, amount: Double) {
        if (account.ratePerS > 0) record(account, -amount)
    }

    /** Time until [amount] may be admitted, in milliseconds. */
    fun waitMs(account: Account, amount: Double): Long {
        val missing = usedBefore(account) + amount - limit(account)
        return (missing / account.ratePerS * MS_PER_S).toLong().coerceIn(0, windowMs)
    }

    /** How the quota of [account] stands, for logs. */
    fun describe(account: Account): String {
        val used = usedBefore(account).toLong()
        return "$used of ${limit(account).toLong()} used, share of hosts heard ${heardShare()}"
    }

    /** Takes in what [peer] has admitted since its start. */
    fun learn(peer: HostRef, totals: Map<ClientAccount, Double>) {
        val before = seen.put(peer, totals)
        // Totals of a host heard for the first time reach back to before this ledger's window.
        if (before == null) return
        totals.forEach { (name, total) -> count(name).add(clock.nowMs(), total - (before[name] ?: 0.0)) }
    }

    private fun limit(account: Account): Double {
        val quota = account.ratePerS * windowMs / MS_PER_S + account.burst
        val slack = if (account.unit == QuotaUnit.TOKENS) tolerance.slackTokens else 0.0
        val beyond = quota * tolerance.overage + slack
        return (quota + beyond * USED_TOLERANCE) * heardShare()
    }

    /** Use in the window; what was used before this host's start counts as the whole rate. */
    private fun usedBefore(account: Account): Double {
        val nowMs = clock.nowMs()
        val unknownMs = (windowMs - (nowMs - startedMs)).coerceAtLeast(0)
        return count(account.name).total(nowMs) + account.ratePerS * unknownMs / MS_PER_S
    }

    private fun record(account: Account, amount: Double) {
        count(account.name).add(clock.nowMs(), amount)
        admitted.merge(account.name, amount, Double::plus)
    }

    private fun count(name: ClientAccount): WindowCount =
        used.getOrPut(name) { WindowCount(windowMs) }

    private companion object {
        const val MS_PER_S = 1_000.0

        // The rest covers what the other hosts admit until they are heard of.
        const val USED_TOLERANCE = 0.4
    }
}
