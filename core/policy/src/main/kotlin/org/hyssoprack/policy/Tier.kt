package org.hyssoprack.policy

import org.hyssoprack.common.TierName
import org.hyssoprack.common.TierRank

/** One tier. [objective] is the share of requests that must be answered whole and in time. */
data class Tier(val name: TierName, val rank: TierRank, val objective: Double)
