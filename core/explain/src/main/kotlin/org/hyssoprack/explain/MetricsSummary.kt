package org.hyssoprack.explain

/**
 * Sums the metrics that hosts export in the Prometheus text format: counters and timers whose names
 * begin with `hyssoprack_`, by name and labels.
 */
class MetricsSummary(texts: List<String>) {
    private val sums = sortedMapOf<Series, Double>(compareBy({ it.name }, { it.labels }))

    init {
        texts.flatMap { it.lines() }.mapNotNull { parse(it) }.forEach { (series, value) ->
            sums.merge(series, value, Double::plus)
        }
    }

    /**
     * Returns one line for each counter, and one for each timer with its count and mean in
     * milliseconds.
     */
    fun lines(): List<String> = sums.mapNotNull { (series, value) ->
        when {
            series.name.endsWith(COUNTER) -> line(series, COUNTER, "%.0f".format(value))
            series.name.endsWith(COUNT) -> timer(series, value)
            else -> null
        }
    }

    private fun timer(series: Series, count: Double): String? {
        val base = series.name.removeSuffix(COUNT)
        val seconds = sums[Series(base + SUM, series.labels)] ?: return null
        if (count == 0.0) return null
        val meanMs = seconds / count * MS_PER_S
        return line(series, COUNT, "%.0f, mean %.1f ms".format(count, meanMs))
    }

    private fun line(series: Series, suffix: String, value: String) =
        "${series.name.removeSuffix(suffix)} ${series.labels}: $value"

    private fun parse(line: String): Pair<Series, Double>? {
        val match = SAMPLE.matchEntire(line.trim()) ?: return null
        val (name, labels, value) = match.destructured
        val number = value.toDoubleOrNull() ?: return null
        return Series(name, labels) to number
    }

    private data class Series(val name: String, val labels: String)

    private companion object {
        const val COUNTER = "_total"
        const val COUNT = "_count"
        const val SUM = "_sum"
        const val MS_PER_S = 1_000.0
        val SAMPLE = Regex("""(hyssoprack_\w+)(?:\{(.*)})? (\S+)""")
    }
}
