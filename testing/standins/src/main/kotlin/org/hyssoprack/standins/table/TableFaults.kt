package org.hyssoprack.standins.table

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.platform.Outage

/**
 * Faults of the table service, set as a whole by `POST /faults`.
 *
 * @property delayMs time before each call is worked on, in milliseconds.
 * @property readsPerSecond limit of reads and scans; 0 for none.
 * @property writesPerSecond limit of writes; 0 for none.
 * @property loseReplyShare share of writes, from 0 to 1, whose reply is lost after they took effect.
 * @property lateShare share of writes whose reply is lost and that take effect [lateMs] later.
 * @property tables tables whose writes lose replies or come late; empty for all.
 * @property seed seed of the choice of writes.
 */
@Serializable
data class TableFaults(
    val outage: Outage = Outage.NONE,
    val delayMs: Long = 0,
    val readsPerSecond: Int = 0,
    val writesPerSecond: Int = 0,
    val loseReplyShare: Double = 0.0,
    val lateShare: Double = 0.0,
    val lateMs: Long = 0,
    val tables: List<String> = emptyList(),
    val seed: Long = 0
)
