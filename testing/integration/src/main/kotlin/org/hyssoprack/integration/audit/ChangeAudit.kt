package org.hyssoprack.integration.audit

import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.deployment.JournalAction
import org.hyssoprack.integration.deployment.JournalEntry

/** Checks the promises about leaving backend servers, graceful stops and accepted bundles. */
internal class ChangeAudit(private val history: History) {
    fun violations(): List<Violation> = leaving() + gracefulStop() + bundles()

    private fun leaving(): List<Violation> = entries(JournalAction.LEAVING).flatMap { mark ->
        val untilMs = nextEntry(mark, JournalAction.LIVE)?.atMs ?: Long.MAX_VALUE
        history.runs
            .filter { it.server == mark.subject }
            .filter { it.beganMs > mark.atMs + LEAVING_LIMIT_MS && it.beganMs < untilMs }
            .map { Violation(Promise.LEAVING, "$it began after $mark") }
    }

    private fun gracefulStop(): List<Violation> = entries(JournalAction.STOPPED).flatMap { stop ->
        history.calls
            .filter { it.host == stop.subject && it.sentMs < stop.atMs && it.endedMs > stop.atMs }
            .filter { it.result.outcome == CallOutcome.NO_ANSWER && !isAffectedByFault(it) }
            .map { Violation(Promise.GRACEFUL_STOP, "$it was cut off by $stop") }
    }

    /** Returns true if a host was killed or a fault injected during or shortly before [call]. */
    private fun isAffectedByFault(call: CallRecord): Boolean = history.journal.any {
        val isFault = it.action == JournalAction.KILLED || it.action == JournalAction.FAULT
        isFault && it.atMs in call.sentMs - FAULT_AFTEREFFECT_MS..call.endedMs
    }

    private fun bundles(): List<Violation> = lateBundles() + revertedBundles()

    private fun lateBundles(): List<Violation> =
        entries(JournalAction.ACCEPTED).flatMap { accepted ->
            history.calls
                .filter { it.result.bundle in 1 until accepted.detail }
                .filter { it.sentMs > accepted.atMs + IN_FORCE_LIMIT_MS }
                .map { Violation(Promise.BUNDLES, "$it used an older bundle than $accepted") }
        }

    /**
     * Finds calls served by an older bundle than an earlier call on the same incarnation of the
     * host. Only calls sent after the earlier one ended count.
     */
    private fun revertedBundles(): List<Violation> =
        history.calls.filter { it.result.bundle > 0 }.groupBy { it.host + it.incarnation }
            .values.flatMap(::revertedBundlesOnHost)

    private fun revertedBundlesOnHost(calls: List<CallRecord>): List<Violation> {
        val byEnd = calls.sortedBy { it.endedMs }
        val bySent = calls.sortedBy { it.sentMs }
        val violations = ArrayList<Violation>()
        var newest = 0L
        var next = 0
        for (call in bySent) {
            while (byEnd[next].endedMs < call.sentMs) {
                newest = maxOf(newest, byEnd[next].result.bundle)
                next++
            }
            if (call.result.bundle < newest) {
                violations += Violation(Promise.BUNDLES, "$call was served after bundle $newest")
            }
        }
        return violations
    }

    private fun entries(action: JournalAction): List<JournalEntry> =
        history.journal.filter { it.action == action }

    private fun nextEntry(after: JournalEntry, action: JournalAction): JournalEntry? =
        entries(action).firstOrNull { it.subject == after.subject && it.atMs > after.atMs }

    private companion object {
        /** Time after which a leaving server receives no new work. */
        const val LEAVING_LIMIT_MS = 3_000L

        /** Time after which an accepted bundle is in force on all hosts. */
        const val IN_FORCE_LIMIT_MS = 4_000L

        /** Time after a fault in which calls cut off by a stop are not counted as violations. */
        const val FAULT_AFTEREFFECT_MS = 30_000L
    }
}
