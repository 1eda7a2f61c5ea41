package org.hyssoprack.common

/** The table of result codes for the documents. */
object ResultCodeTable {
    /** All codes as a Markdown table, in the order of their numbers. */
    fun markdown(): String {
        val rows = ResultCode.entries.sortedBy { it.number }.map {
            "| ${it.number} | ${it.wireName} | ${it.outcome.wireName} | ${it.httpStatus} | ${it.meaning} |"
        }
        val head =
            listOf("| number | name | outcome | HTTP status | meaning |", "|---|---|---|---|---|")
        return (head + rows).joinToString("\n")
    }
}
