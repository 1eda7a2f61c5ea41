package org.hyssoprack.serving.limits

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostRef
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.QuotaUnit

/**
 * Keeps accounts within their quotas over all hosts. In any window an account may use its rate times
 * the window, and its burst. One host keeps the ledger for all; it counts what it admits for each
 * host, and takes in from their reports what they have used beside that. The share of hosts that are
 * not heard is set aside, so that two hosts which both keep a ledger admit no more than one.
 *
 * A host that starts knows nothing of the window before it. It takes that from [restore], and adds
 * what may have been used without having been recorded: more, the older the record is, since the
 * store may have lost the writes that followed.
 *
 * @param reportingShare share of the known hosts, this one included, that are heard, from 0 to 1.
 */
class QuotaLedger(
    private val clock: Clock,
    private val tolerance: () -> QuotaTolerance,
    private val reportingShare: () -> Double
) {
    private val windowMs = tolerance().windowMs
    private val startedMs = clock.nowMs()
    private val used = HashMap<ClientAccount, AccountUsage>()
    private val unrecorded = HashMap<ClientAccount, Double>()
    private val bySource = HashMap<HostRef, HashMap<ClientAccount, SlidingWindowSum>>()

    /** Whether the use before this host's start has been read. */
    var isRestored = false
        private set

    /** Takes [amount] of the quota of [account] for a request at [host]; false if it is used up. */
    fun admit(host: HostRef, account: Account, amount: Double): Boolean {
        if (account.ratePerS <= 0) return true
        if (usedBefore(account) + amount > limit(account)) return false
        record(host, account.name, amount)
        return true
    }

    /** Gives back [amount] for a request at [host] that did not run. */
    fun refund(host: HostRef, account: Account, amount: Double) {
        if (account.ratePerS > 0) record(host, account.name, -amount)
    }

    /**
     * Takes in what [host] has used of each account, as far back as [LocalQuota.REPORTED_PART] of the
     * window. What exceeds what this ledger has counted for it was admitted elsewhere: by the host
     * itself or by a ledger before this one. It counts as used now.
     */
    fun reconcile(host: HostRef, reported: Map<ClientAccount, Double>) {
        val nowMs = clock.nowMs()
        reported.forEach { (account, amount) ->
            val missing = amount - sourceCount(host, account).total(nowMs)
            if (missing > 0) {
                use(account).reported.add(nowMs, missing)
                sourceCount(host, account).add(nowMs, missing)
            }
        }
    }

    /** Forgets hosts that have used nothing in the window; called now and then. */
    fun forgetIdle() {
        val nowMs = clock.nowMs()
        bySource.values.removeIf { counts -> counts.values.all { it.total(nowMs) <= 0.0 } }
    }

    /** Time until [amount] may be admitted, in milliseconds. */
    fun waitMs(account: Account, amount: Double): Long {
        val missing = usedBefore(account) + amount - limit(account)
        return (missing / account.ratePerS * MS_PER_S).toLong().coerceIn(0, windowMs)
    }

    /** How the quota of [account] stands, for logs. */
    fun describe(account: Account): String {
        val used = usedBefore(account).toLong()
        return "$used of ${limit(account).toLong()} used, share of hosts heard ${reportingShare()}"
    }

    /** Use of [account] in the window, for the lasting record. */
    fun slices(account: ClientAccount): List<UsageSlice> = use(account).slices(clock.nowMs())

    /** Share of the quota of [account] that is used in the window. */
    fun usedShare(account: Account): Double =
        shareOf(account, use(account.name).total(clock.nowMs()))

    /** All that was counted of [account] since this host's start, as a multiple of its quota. */
    fun countedShare(account: Account): Double = shareOf(account, use(account.name).lifetimeTotal)

    /** Takes over what hosts had recorded before this one started. */
    fun restore(records: Map<ClientAccount, RecordedUsage>) {
        isRestored = true
        records.forEach { (name, record) ->
            unrecorded[name] = unrecordedShare(record.ageMs)
            use(name).restore(record.slices)
        }
    }

    /**
     * Takes over [shares] of quotas that another ledger had as used, so that the use of hosts which
     * do not report to this one counts too. It counts as even over the window, and beside what this
     * ledger has admitted only where it is more.
     */
    fun inherit(accounts: Collection<Account>, shares: Map<ClientAccount, Double>) {
        val nowMs = clock.nowMs()
        for (account in accounts) {
            val share = shares[account.name] ?: continue
            use(account.name).inherit(nowMs, share * quota(account))
        }
    }

    private fun shareOf(account: Account, amount: Double): Double =
        if (account.ratePerS <= 0) 0.0 else amount / quota(account)

    private fun quota(account: Account): Double =
        account.ratePerS * windowMs / MS_PER_S + account.burst

    private fun limit(account: Account): Double {
        val quota = quota(account)
        val tolerance = tolerance()
        val slack = if (account.unit == QuotaUnit.TOKENS) tolerance.slackTokens else 0.0
        val beyond = quota * tolerance.overage + slack
        return (quota + beyond * USED_TOLERANCE) * reportingShare()
    }

    /** Use in the window, with what may have been used before this host's start unrecorded. */
    private fun usedBefore(account: Account): Double {
        val nowMs = clock.nowMs()
        val known = use(account.name).total(nowMs)
        if (nowMs - startedMs >= windowMs) return known
        val share = unrecorded[account.name] ?: (RECORD_FLOOR + RECORD_STEP)
        return known + quota(account) * share
    }

    /** Share of a quota that may have been used since a record that is [ageMs] old. */
    private fun unrecordedShare(ageMs: Long): Double {
        if (ageMs !in 0 until windowMs) return RECORD_FLOOR + RECORD_STEP
        val sinceShare = (ageMs - RESTART_MS).toDouble() / windowMs
        return maxOf(RECORD_STEP, sinceShare)
    }

    private fun record(host: HostRef, account: ClientAccount, amount: Double) {
        val nowMs = clock.nowMs()
        use(account).admitted.add(nowMs, amount)
        sourceCount(host, account).add(nowMs, amount)
    }

    private fun sourceCount(host: HostRef, account: ClientAccount): SlidingWindowSum =
        bySource.getOrPut(host) { HashMap() }.getOrPut(account) { SlidingWindowSum(windowMs) }

    private fun use(name: ClientAccount): AccountUsage = used.getOrPut(name) {
        AccountUsage(windowMs)
    }

    companion object {
        private const val MS_PER_S = 1_000.0

        // The rest covers what was used before a change of the host that keeps the ledger, and was
        // not reported to the new one.
        private const val USED_TOLERANCE = 0.3

        // A process that is killed starts again no sooner, and uses nothing until then.
        private const val RESTART_MS = 1_000L

        /** Share of a quota below which its use is not recorded. */
        const val RECORD_FLOOR = 0.25

        /** Growth of the use, as a share of the quota, after which it is recorded again. */
        const val RECORD_STEP = 0.1
    }
}
