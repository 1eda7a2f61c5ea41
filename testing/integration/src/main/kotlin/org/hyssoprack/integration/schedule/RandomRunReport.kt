package org.hyssoprack.integration.schedule

import org.hyssoprack.integration.audit.History
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.audit.Violation
import org.hyssoprack.integration.caller.CallOutcome

/** Result of a random run. */
class RandomRunReport(
    val faults: List<FaultKind>,
    val history: History,
    val violations: List<Violation>
) {
    /** Returns the counts of calls, faults, outcomes, result codes and broken promises as text. */
    fun text(): String {
        val outcomes = history.calls.groupingBy { it.result.outcome }.eachCount()
        val codes = history.calls.groupingBy { it.result.code }.eachCount().toSortedMap()
        val lines = mutableListOf(
            "attempts sent: ${history.calls.size}, runs on backend servers: ${history.runs.size}",
            "faults injected: ${faults.size}, kinds: ${faults.distinct().size}",
            "told: $outcomes",
            "codes: $codes"
        )
        lines += "unanswered: ${unanswered()}"
        Promise.entries.forEach { promise ->
            lines += "broken ${violations.count { it.promise == promise }} times: ${promise.title}"
        }
        return lines.joinToString("\n")
    }

    /** Returns the most frequent reasons for missing answers with their counts, largest first. */
    private fun unanswered() = history.calls
        .filter { it.result.outcome == CallOutcome.NO_ANSWER }
        .groupingBy { it.result.detail.take(DETAIL_CHARS) }
        .eachCount()
        .entries
        .sortedByDescending { it.value }
        .take(REASONS)
        .map { "${it.value} x ${it.key}" }

    private companion object {
        const val DETAIL_CHARS = 60
        const val REASONS = 6
    }
}
