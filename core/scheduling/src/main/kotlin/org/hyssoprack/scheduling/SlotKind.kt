package org.hyssoprack.scheduling

import org.hyssoprack.common.PoolName
import org.hyssoprack.common.TierRank

/** Pool, tier and length class of requests; requests of one kind may share slots. */
internal data class SlotKind(val pool: PoolName, val tier: TierRank, val long: Boolean)
