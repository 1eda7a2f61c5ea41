package org.hyssoprack.integration.audit

import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.caller.ToldOutcome
import org.hyssoprack.integration.deployment.JournalAction
import org.hyssoprack.integration.deployment.JournalEntry

/** Checks what must hold while backend servers leave, hosts stop and bundles are accepted. */
internal class ChangeAudit(private val history: History) {
    fun violations(): List<Violation> = leaving() + gracefulStop() + bundles()

    private fun leaving(): List<Violation> = entries(JournalAction.LEAVING).flatMap { mark ->
        val untilMs = nextEntry(mark, JournalAction.LIVE)?.atMs ?: Long.MAX_VALUE
        history.runs
            .filter { it.server == mark.subject }
            .filter { it.beganMs > mark.atMs + LEAVING_MS && it.beganMs < untilMs }
            .map { Violation(Promise.LEAVING, "$it began after $mark") }
    }

    private fun gracefulStop(): List<Violation> = entries(JournalAction.STOPPED).flatMap { stop ->
        history.calls
            .filter { it.host == stop.subject && it.sentMs < stop.atMs && it.endedMs > stop.atMs }
            .filter { it.told.outcome == ToldOutcome.NO_ANSWER && !isOtherwiseHit(it) }
            .map { Violation(Promise.GRACEFUL_STOP, "$it was cut off by $stop") }
    }

    /** True if something else than a graceful stop was done while [call] was in progress. */
    private fun isOtherwiseHit(call: CallRecord): Boolean = history.journal.any {
        val isHit = it.action == JournalAction.KILLED || it.action == JournalAction.FAULT
        isHit && it.atMs in call.sentMs - FAULT_MS..call.endedMs
    }

    private fun bundles(): List<Violation> = late() + reverted()

    private fun late(): List<Violation> = entries(JournalAction.ACCEPTED).flatMap { accepted ->
        history.calls
            .filter { it.told.bundle in 1 until accepted.detail }
            .filter { it.sentMs > accepted.atMs + IN_FORCE_MS }
            .map { Violation(Promise.BUNDLES, "$it was served by an older bundle than $accepted") }
    }

    /** On one host no call that began after another had ended is served by an older bundle. */
    private fun reverted(): List<Violation> =
        history.calls.filter { it.told.bundle > 0 }.groupBy { it.host + it.incarnation }
            .values.flatMap(::revertedOnHost)

    private fun revertedOnHost(calls: List<CallRecord>): List<Violation> {
        val byEnd = calls.sortedBy { it.endedMs }
        val bySending = calls.sortedBy { it.sentMs }
        val violations = ArrayList<Violation>()
        var newest = 0L
        var next = 0
        for (call in bySending) {
            while (byEnd[next].endedMs < call.sentMs) {
                newest = maxOf(newest, byEnd[next].told.bundle)
                next++
            }
            if (call.told.bundle < newest) {
                violations += Violation(Promise.BUNDLES, "$call was served after version $newest")
            }
        }
        return violations
    }

    private fun entries(action: JournalAction): List<JournalEntry> =
        history.journal.filter { it.action == action }

    private fun nextEntry(after: JournalEntry, action: JournalAction): JournalEntry? =
        entries(action).firstOrNull { it.subject == after.subject && it.atMs > after.atMs }

    private companion object {
        const val LEAVING_MS = 3_000L
        const val IN_FORCE_MS = 4_000L
        const val FAULT_MS = 30_000L
    }
}
