package org.hyssoprack.standins.table

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.platform.Outage

/**
 * Faults of the table service. `POST /faults` replaces all of them.
 *
 * @property delayMs delay before each call is processed, in milliseconds.
 * @property readsPerSecond limit of reads and scans; 0 for no limit.
 * @property writesPerSecond limit of writes; 0 for no limit.
 * @property loseReplyShare share of writes, from 0 to 1, that are applied but get no reply.
 * @property lateShare share of writes, from 0 to 1, that get no reply and are applied late.
 * @property lateMs delay of late writes, in milliseconds.
 * @property tables tables to whose writes [loseReplyShare] and [lateShare] apply; empty for all.
 * @property seed seed of the random choice of writes.
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
