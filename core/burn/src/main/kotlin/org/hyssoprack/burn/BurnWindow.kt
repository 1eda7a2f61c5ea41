package org.hyssoprack.burn

import kotlinx.serialization.Serializable

/** Time spans over which the use of the error budget is measured; [lengthMs] in milliseconds. */
@Serializable
enum class BurnWindow(val label: String, val lengthMs: Long) {
    SHORT("5 min", 300_000),
    MIDDLE("1 h", 3_600_000),
    LONG("6 h", 21_600_000)
}
