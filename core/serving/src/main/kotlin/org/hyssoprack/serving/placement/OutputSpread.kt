package org.hyssoprack.serving.placement

import kotlin.math.sqrt

/**
 * How far the output of a service's streams goes beyond its estimate, learned by size of the
 * estimate. Callers' estimates are right at the median but often far off, so memory planned by them
 * alone is exceeded. The output is known as a number of events, whose size in tokens is not: the
 * median ratio of events to estimated tokens counts as an estimate that was met.
 */
class OutputSpread {
    private val classes = Array(CLASSES) { SizeClass() }

    private class SizeClass {
        private val ratios = DoubleArray(WINDOW)
        private var count = 0
        var mean = 1.0
            private set
        var upper = 1.0
            private set

        fun add(ratio: Double) {
            ratios[count++ % WINDOW] = ratio
            if (count >= MIN_SAMPLES && count % REFRESH == 0) refresh(minOf(count, WINDOW))
        }

        private fun refresh(size: Int) {
            val sorted = ratios.copyOf(size)
            sorted.sort()
            val median = sorted[size / 2]
            upper = (sorted[(size * QUANTILE).toInt()] / median).coerceIn(1.0, MAX_FACTOR)
            mean = (sorted.average() / median).coerceIn(1.0, upper)
        }
    }

    /** Records a complete stream of [events] whose output was estimated as [estimate] tokens. */
    fun record(estimate: Int, events: Int) {
        if (estimate <= 0 || events <= 0) return
        classes[classOf(estimate)].add(events.toDouble() / estimate)
    }

    /**
     * Returns the upper quantile of output that requests will need together.
     *
     * @param sums total of the estimates by class.
     * @param squares total of the squared estimates by class. The excesses of requests are
     *   independent, so that of their total grows with the root of the sum of squares.
     */
    internal fun expected(sums: DoubleArray, squares: DoubleArray): Double {
        var total = 0.0
        var variance = 0.0
        for (i in 0 until CLASSES) {
            val excess = classes[i].upper - classes[i].mean
            total += sums[i] * classes[i].mean
            variance += squares[i] * excess * excess
        }
        return total + sqrt(variance)
    }

    internal companion object {
        const val CLASSES = 4
        private const val CLASS_STEP = 4
        private const val FIRST_LIMIT = 64

        // Enough for the quantile, and recent enough to follow a change of the callers.
        private const val WINDOW = 128
        private const val MIN_SAMPLES = 16
        private const val REFRESH = 8
        private const val QUANTILE = 0.9

        // Larger factors would leave most of a server's memory unused for a few odd streams.
        private const val MAX_FACTOR = 6.0

        /** Class of an estimate in tokens: up to 64, 256, 1,024, or more. */
        fun classOf(estimate: Int): Int {
            var limit = FIRST_LIMIT
            for (i in 0 until CLASSES - 1) {
                if (estimate <= limit) return i
                limit *= CLASS_STEP
            }
            return CLASSES - 1
        }
    }
}
