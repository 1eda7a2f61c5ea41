package org.hyssoprack.integration.schedule

import org.hyssoprack.integration.audit.History
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.audit.Violation
import org.hyssoprack.integration.caller.ToldOutcome

/** Result of a random run. */
class RandomRunReport(
    val faults: List<FaultKind>,
    val history: History,
    val violations: List<Violation>
) {
    /** The result as text: what was done, what callers were told, how often promises were broken. */
    fun text(): String {
        val told = history.calls.groupingBy { it.told.outcome }.eachCount()
        val codes = history.calls.groupingBy { it.told.code }.eachCount().toSortedMap()
        val lines = mutableListOf(
            "attempts sent: ${history.calls.size}, runs on backend servers: ${history.runs.size}",
            "faults injected: ${faults.size}, kinds: ${faults.distinct().size}",
            "told: $told",
            "codes: $codes"
        )
        lines += "unanswered: ${unanswered()}"
        Promise.entries.forEach { promise ->
            lines += "broken ${violations.count { it.promise == promise }} times: ${promise.title}"
        }
        return lines.joinToString("\n")
    }

    /** Why callers got no answer, the most frequent reasons first. */
    private fun unanswered() = history.calls
        .filter { it.told.outcome == ToldOutcome.NO_ANSWER }
        .groupingBy { it.told.detail.take(DETAIL_CHARS) }
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
