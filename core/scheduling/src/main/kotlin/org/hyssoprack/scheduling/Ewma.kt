package org.hyssoprack.scheduling

/** Exponentially weighted mean; [weight], from 0 to 1, is the share of a new value. */
internal class Ewma(private val weight: Double) {
    var count = 0
        private set
    private var mean = 0.0

    /** The mean, or null before the first value. */
    val value: Double? get() = if (count == 0) null else mean

    fun add(value: Double) {
        count++
        mean += maxOf(weight, 1.0 / count) * (value - mean)
    }
}
