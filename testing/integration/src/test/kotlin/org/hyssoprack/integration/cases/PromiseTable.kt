package org.hyssoprack.integration.cases

import org.hyssoprack.integration.audit.Promise

/** All cases, and the table for docs/PROMISES.md that maps promises and faults to them. */
internal object PromiseTable {
    val cases: List<PromiseCase> = WholeAnswerCases.all + RunsOnceCases.all + NotRunCases.all +
        TierCases.all + ChangeCases.all + BundleCases.all

    /** Returns the table as Markdown; a cell is empty if no case covers it. */
    fun markdown(): String {
        val head = "| promise | " + Fault.entries.joinToString(" | ") { it.title } + " |"
        val line = "|" + "---|".repeat(Fault.entries.size + 1)
        val rows = Promise.entries.map { promise ->
            "| ${promise.title} | " + Fault.entries.joinToString(" | ") { cell(promise, it) } + " |"
        }
        return (listOf(head, line) + rows).joinToString("\n")
    }

    /** Returns the cases as a numbered Markdown list. */
    fun list(): String = cases.mapIndexed { i, case -> "${i + 1}. ${case.name}" }.joinToString("\n")

    private fun cell(promise: Promise, fault: Fault): String = cases.withIndex()
        .filter { it.value.promise == promise && fault in it.value.faults }
        .joinToString(", ") { "${it.index + 1}" }
}
