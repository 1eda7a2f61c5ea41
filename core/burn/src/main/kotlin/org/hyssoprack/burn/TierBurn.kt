package org.hyssoprack.burn

import kotlinx.serialization.Serializable
import org.hyssoprack.common.TierName

/** One tier in the report; [objective] as a share from 0 to 1. */
@Serializable
data class TierBurn(
    val tier: TierName,
    val objective: Double,
    val status: BurnStatus,
    val windows: List<WindowBurn>
)
