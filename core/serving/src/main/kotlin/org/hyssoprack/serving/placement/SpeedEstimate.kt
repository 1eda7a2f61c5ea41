package org.hyssoprack.serving.placement

/** Moving average of a server's cost for one unit of work, in milliseconds. */
class SpeedEstimate(private val weight: Double = WEIGHT) {
    private var samples = 0

    /** The average; null before the first sample. */
    var value: Double? = null
        private set

    /** Adds [sample]; the first samples have more weight. */
    fun add(sample: Double) {
        samples++
        val share = maxOf(weight, 1.0 / samples)
        val old = value
        value = if (old == null) sample else old + (sample - old) * share
    }

    private companion object {
        // Adapts to a server that becomes slow within about seven requests.
        const val WEIGHT = 0.15
    }
}
