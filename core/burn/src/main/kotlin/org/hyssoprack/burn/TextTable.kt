package org.hyssoprack.burn

/** Plain-text table with aligned columns. */
class TextTable(private val head: List<String>, private val rows: List<List<String>>) {
    /** Returns the table with a line break after each row. */
    fun text(): String {
        val all = listOf(head) + rows
        val widths = head.indices.map { column -> all.maxOf { it[column].length } }
        return all.joinToString("") { row -> line(row, widths) + "\n" }
    }

    private fun line(row: List<String>, widths: List<Int>): String = row
        .mapIndexed { column, cell -> cell.padEnd(widths[column]) }
        .joinToString(GAP)
        .trimEnd()

    private companion object {
        const val GAP = "  "
    }
}
