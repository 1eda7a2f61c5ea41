package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool

/** The fleet as one entry host looks at it. */
internal class EntryServers(private val ownDomain: FailureDomain, private val fleet: Fleet) {
    private val byPool: Map<PoolName, List<FleetServer>> =
        fleet.servers.values.filter { !it.leaving }.groupBy { it.pool }.mapValues { (_, servers) ->
            servers.sortedBy { it.domain != ownDomain }
        }
    private val lowestTier: TierRank? = fleet.tiers.maxOfOrNull { it.rank }

    fun find(id: BackendServerId): FleetServer? = fleet.servers[id]

    fun pool(name: PoolName): Pool? = fleet.pools[name]

    /** Servers of the pool that take new work, those of the host's failure domain first. */
    fun ofPool(name: PoolName): List<FleetServer> = byPool[name].orEmpty()

    /** True if no tier is below [tier], so that its requests can be shed without a check. */
    fun isLowest(tier: TierRank): Boolean = lowestTier != null && lowestTier <= tier
}
