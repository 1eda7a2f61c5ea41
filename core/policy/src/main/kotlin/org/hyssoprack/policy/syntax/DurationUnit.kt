package org.hyssoprack.policy.syntax

/** Units of durations; [ms] is the unit's length in milliseconds. */
internal enum class DurationUnit(val symbol: String, val ms: Long) {
    MILLISECONDS("ms", 1),
    SECONDS("s", 1_000),
    MINUTES("min", 60_000)
}
