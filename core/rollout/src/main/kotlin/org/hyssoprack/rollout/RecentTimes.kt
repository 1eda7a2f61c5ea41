package org.hyssoprack.rollout

/** The last times of one measure, for their median. */
internal class RecentTimes {
    private val values = ArrayDeque<Double>()

    fun add(value: Double) {
        values.addLast(value)
        if (values.size > MAX_VALUES) values.removeFirst()
    }

    /** Returns the median; null if there are too few values. */
    fun median(): Double? = if (values.size < MIN_VALUES) null else values.sorted()[values.size / 2]

    private companion object {
        const val MIN_VALUES = 8

        // Few enough to follow a change of load: with 50 values, a version that is slow only under
        // load was accepted, since the old version counted as slow for seconds after each change.
        const val MAX_VALUES = 16
    }
}
