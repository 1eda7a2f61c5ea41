package org.hyssoprack.bench.capacity

import java.util.Locale
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Results of one run of `bench capacity`. */
@Serializable
data class CapacityReport(val slopes: List<Slope>, val figures: List<Figure>) {
    /** Formats the report as JSON. */
    fun json(): String = JSON.encodeToString(serializer(), this)

    /** Formats the report as a text table for the terminal. */
    fun table(): String = (slopeLines() + "" + figureLines()).joinToString("\n")

    private fun slopeLines(): List<String> {
        val head = listOf("cost", "grows with", "unit", "slope", "error", "at zero", "R2", "sizes")
        val rows = slopes.map { slope ->
            listOf(
                slope.name,
                slope.size,
                slope.unit,
                number(slope.fit.slope),
                number(slope.fit.slopeError),
                number(slope.fit.intercept),
                String.format(Locale.ROOT, "%.3f", slope.fit.determination),
                slope.points.joinToString(" ") { "${number(it.x)}:${number(it.y)}" }
            )
        }
        return align(listOf(head) + rows)
    }

    private fun figureLines(): List<String> = align(
        listOf(listOf("figure", "unit", "value")) +
            figures.map { listOf(it.name, it.unit, number(it.value)) }
    )

    private fun align(rows: List<List<String>>): List<String> {
        val widths = rows.first().indices.map { column -> rows.maxOf { it[column].length } }
        return rows.map { row ->
            row.mapIndexed { column, cell ->
                cell.padEnd(widths[column])
            }.joinToString("  ").trimEnd()
        }
    }

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.4g", value)

    private companion object {
        val JSON = Json { prettyPrint = true }
    }
}
