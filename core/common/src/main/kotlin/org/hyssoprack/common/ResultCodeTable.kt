package org.hyssoprack.common

/** Renders the table of result codes for the documentation. */
object ResultCodeTable {
    /** Returns all codes as a Markdown table, sorted by number. */
    fun markdown(): String {
        val rows = ResultCode.entries.sortedBy { it.number }.map {
            "| ${it.number} | ${it.wireName} | ${it.outcome.wireName} | ${it.httpStatus} | ${it.meaning} |"
        }
        val head =
            listOf("| number | name | outcome | HTTP status | meaning |", "|---|---|---|---|---|")
        return (head + rows).joinToString("\n")
    }
}
