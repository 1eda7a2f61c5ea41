package org.hyssoprack.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.TierRank

/** A lease in a renewal: how many slots the holder still has, and how many of them are in use. */
@Serializable
data class HeldLease(
    @SerialName("i") val lease: LeaseId,
    @SerialName("t") val tier: TierRank,
    @SerialName("c") val held: Int,
    @SerialName("u") val inUse: Int,
    @SerialName("l") val long: Boolean = false
)
