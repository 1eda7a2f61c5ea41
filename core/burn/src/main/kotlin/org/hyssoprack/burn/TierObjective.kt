package org.hyssoprack.burn

import kotlinx.serialization.Serializable
import org.hyssoprack.common.TierName

/** Share of a tier's requests, from 0 to 1, that must get a complete response in time. */
@Serializable
data class TierObjective(val tier: TierName, val objective: Double)
