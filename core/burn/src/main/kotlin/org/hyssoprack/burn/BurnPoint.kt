package org.hyssoprack.burn

import kotlinx.serialization.Serializable
import org.hyssoprack.common.TierName

/**
 * Counts of one tier in a time span. [startMs] is in milliseconds since the epoch, [lengthMs] in
 * milliseconds.
 */
@Serializable
data class BurnPoint(
    val tier: TierName,
    val startMs: Long,
    val lengthMs: Long,
    val counts: SloOutcomeCounts
)
