package org.hyssoprack.serving.limits

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostRef
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.QuotaUnit

/**
 * Enforces the quotas of accounts across all hosts. In any window an account may use its rate times
 * the window, plus its burst. One host keeps the ledger for all: it counts what it admits for each
 * host, and adds usage from their reports that it did not admit. Quotas are scaled by the share of
 * hosts that report to it, so that two hosts which both keep a ledger admit no more than one would.
 *
 * A starting host has not counted the usage before its start. It loads the recorded usage through
 * [restore] and adds an allowance for usage that may not have been recorded. The allowance grows
 * with the age of the record, since the store may have lost the writes that followed.
 *
 * @param reportingShare share of the known hosts, this one included, that report to this ledger,
 *   from 0 to 1.
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
    private val recordedMs = HashMap<ClientAccount, Long>()
    private val byHost = HashMap<HostRef, HashMap<ClientAccount, SlidingWindowSum>>()

    /** Whether the usage from before this host's start has been loaded. */
    var isRestored = false
        private set

    /**
     * Charges [amount] to the quota of [account] for a request at [host]. Returns false if the
     * quota is exhausted.
     */
    fun admit(host: HostRef, account: Account, amount: Double): Boolean {
        if (account.ratePerS <= 0) return true
        if (amount > available(account, reportingShare())) return false
        record(host, account.name, amount)
        return true
    }

    /** Refunds [amount] for a request at [host] that did not run. */
    fun refund(host: HostRef, account: Account, amount: Double) {
        if (account.ratePerS > 0) record(host, account.name, -amount)
    }

    /**
     * Adds the usage that [host] reported for each account over [LocalQuota.REPORTED_SHARE] of the
     * window. Usage beyond what this ledger has counted for the host was admitted elsewhere, by the
     * host itself or by a previous ledger. It counts as used now.
     */
    fun reconcile(host: HostRef, reported: Map<ClientAccount, Double>) {
        val nowMs = clock.nowMs()
        reported.forEach { (account, amount) ->
            val missing = amount - usageAt(host, account).total(nowMs)
            if (missing > 0) {
                reportedBy(host, account).add(nowMs, missing)
                usageAt(host, account).add(nowMs, missing)
            }
        }
    }

    /** Removes hosts without usage in the window; called periodically. */
    fun forgetIdle() {
        val nowMs = clock.nowMs()
        byHost.values.removeIf { counts -> counts.values.all { it.total(nowMs) <= 0.0 } }
    }

    /**
     * Returns the time until [amount] may be admitted, in milliseconds. The hosts that start at once
     * with this one report to one ledger before long.
     */
    fun waitMs(account: Account, amount: Double): Long {
        val share = if (isSettled(clock.nowMs())) reportingShare() else 1.0
        val missing = amount - available(account, share)
        return (missing / account.ratePerS * MS_PER_S).toLong().coerceIn(0, windowMs)
    }

    /** Returns the state of the quota of [account], for error details. */
    fun describe(account: Account): String {
        val nowMs = clock.nowMs()
        val used = (usageOf(account.name).total(nowMs) + allowance(account, nowMs)).toLong()
        val limit = limit(account).toLong()
        return "$used of $limit used, share of hosts reporting: ${reportingShare()}"
    }

    /** Returns the usage of [account] in the window, for the record in the store. */
    fun slices(account: ClientAccount): List<UsageSlice> = usageOf(account).slices(clock.nowMs())

    /** Returns the used share of the quota of [account] in the window. */
    fun usedShare(account: Account): Double =
        shareOf(account, usageOf(account.name).total(clock.nowMs()))

    /**
     * Returns the used share of the quota of [account] as known to this ledger, with an allowance
     * for usage before its start that was not recorded; null until the record is loaded.
     */
    fun recordedShare(account: Account): Double? {
        if (!isRestored) return null
        return usedShare(account) + shareOf(account, allowance(account, clock.nowMs()))
    }

    /** Returns the total usage of [account] since this host's start, as a multiple of its quota. */
    fun countedShare(account: Account): Double =
        shareOf(account, usageOf(account.name).lifetimeTotal)

    /** Loads the usage that hosts recorded before this one started. */
    fun restore(records: Map<ClientAccount, RecordedUsage>) {
        isRestored = true
        records.forEach { (name, record) ->
            unrecorded[name] = unrecordedShare(record)
            recordedMs[name] = clock.epochMs() - record.ageMs
            usageOf(name).restore(record.slices)
        }
    }

    /**
     * Applies the used [shares] of quotas from another ledger, so that the usage of hosts which do
     * not report to this one counts too. It is spread evenly over the window, and counts only as
     * far as it exceeds what this ledger has admitted.
     */
    fun inherit(accounts: Collection<Account>, shares: Map<ClientAccount, Double>) {
        val nowMs = clock.nowMs()
        for (account in accounts) {
            val share = shares[account.name] ?: continue
            usageOf(account.name).inherit(nowMs, share * quota(account))
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
        return quota + beyond * USED_TOLERANCE
    }

    /**
     * Returns what may still be admitted for the hosts that report here: their [share] of what the
     * usage from before this host's start, which is of all hosts, has left.
     */
    private fun available(account: Account, share: Double): Double {
        val nowMs = clock.nowMs()
        val usage = usageOf(account.name)
        val left = limit(account) - usage.unreported(nowMs) - allowance(account, nowMs)
        return left * share - usage.counted(nowMs)
    }

    private fun isSettled(nowMs: Long): Boolean = nowMs - startedMs >= windowMs

    /** Returns the usage before this host's start that may not have been recorded. */
    private fun allowance(account: Account, nowMs: Long): Double {
        if (isSettled(nowMs)) return 0.0
        val share = unrecorded[account.name] ?: (RECORD_FLOOR + RECORD_STEP)
        return quota(account) * share
    }

    /** Returns the share of a quota that may have been used since [record]; all if that is lost. */
    private fun unrecordedShare(record: RecordedUsage): Double {
        if (record.isOutdated) return 1.0
        val ageMs = record.ageMs
        if (ageMs !in 0 until windowMs) return RECORD_FLOOR + RECORD_STEP
        val sinceShare = (ageMs - RESTART_MS).toDouble() / windowMs
        return maxOf(RECORD_STEP, sinceShare)
    }

    private fun record(host: HostRef, account: ClientAccount, amount: Double) {
        val nowMs = clock.nowMs()
        usageOf(account).admitted.add(nowMs, amount)
        usageAt(host, account).add(nowMs, amount)
    }

    /** Returns the usage that a report of [host] belongs to; an incarnation is the time of a start. */
    private fun reportedBy(host: HostRef, account: ClientAccount): SlidingWindowSum {
        val usage = usageOf(account)
        val writtenMs = recordedMs[account] ?: return usage.reported
        return if (host.incarnation.value > writtenMs) usage.reportedSince else usage.reported
    }

    private fun usageAt(host: HostRef, account: ClientAccount): SlidingWindowSum =
        byHost.getOrPut(host) { HashMap() }.getOrPut(account) { SlidingWindowSum(windowMs) }

    private fun usageOf(name: ClientAccount): AccountUsage = used.getOrPut(name) {
        AccountUsage(windowMs)
    }

    companion object {
        private const val MS_PER_S = 1_000.0

        // Share of the tolerance that admission uses. The rest covers usage that the previous
        // ledger admitted and that was not reported to the new one.
        private const val USED_TOLERANCE = 0.3

        // Shortest time in which a killed process starts again; it uses no quota until then.
        private const val RESTART_MS = 1_000L

        /** Used share of a quota below which its usage is not recorded. */
        const val RECORD_FLOOR = 0.25

        /** Growth in usage, as a share of the quota, after which it is recorded again. */
        const val RECORD_STEP = 0.1
    }
}
