package org.hyssoprack.bench.report

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles of times in milliseconds. */
@Serializable
data class Percentiles(val p50: Double, val p90: Double, val p99: Double, val max: Double) {
    companion object {
        private const val LOWEST_US = 1L
        private const val HIGHEST_US = 600_000_000L
        private const val DIGITS = 3
        private const val US_PER_MS = 1_000.0

        /** Returns the percentiles of [timesMs]; all zero if it is empty. */
        fun of(timesMs: Sequence<Double>): Percentiles {
            val histogram = Histogram(LOWEST_US, HIGHEST_US, DIGITS)
            timesMs.forEach {
                val us = (it * US_PER_MS).toLong().coerceIn(LOWEST_US, HIGHEST_US)
                histogram.recordValue(us)
            }
            return Percentiles(
                p50 = histogram.at(50.0),
                p90 = histogram.at(90.0),
                p99 = histogram.at(99.0),
                max = histogram.maxValue / US_PER_MS
            )
        }

        private fun Histogram.at(percentile: Double): Double =
            getValueAtPercentile(percentile) / US_PER_MS
    }
}
