package org.hyssoprack.scheduling

import kotlinx.serialization.Serializable
import org.hyssoprack.common.TierRank

/** A lease as its holder sees it: how many slots it still holds, and how many of them are in use. */
@Serializable
data class HeldLease(val lease: LeaseId, val tier: TierRank, val held: Int, val inUse: Int)
