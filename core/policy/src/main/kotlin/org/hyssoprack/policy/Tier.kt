package org.hyssoprack.policy

import org.hyssoprack.common.TierName
import org.hyssoprack.common.TierRank

/** A priority class. [objective] is the share of requests to be answered completely and in time. */
data class Tier(val name: TierName, val rank: TierRank, val objective: Double)
