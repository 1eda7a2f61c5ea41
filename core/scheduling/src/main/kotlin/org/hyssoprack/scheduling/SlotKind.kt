package org.hyssoprack.scheduling

import org.hyssoprack.common.PoolName
import org.hyssoprack.common.TierRank

/** Requests that may use each other's slots. */
internal data class SlotKind(val pool: PoolName, val tier: TierRank, val long: Boolean)
