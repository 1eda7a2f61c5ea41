package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.PoolName
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.Tier

/**
 * All backend servers and the policy of their pools.
 *
 * @property tiers all tiers of the policy; needed if a pool reserves headroom for some of them.
 */
data class Fleet(
    val servers: Map<BackendServerId, FleetServer>,
    val pools: Map<PoolName, Pool>,
    val tiers: List<Tier> = emptyList()
)
