package org.hyssoprack.scheduling

import java.util.TreeMap
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool

/**
 * The backend servers that one entry host considers. In a pool of more than [candidateLimit]
 * servers it compares only that many: those of its own failure domain first, then the others in an
 * order that differs from host to host.
 */
internal class EntryServers(
    private val ownDomain: FailureDomain,
    private val hostKey: Long,
    private val candidateLimit: Int,
    private val fleet: Fleet
) {
    private val byPool: Map<PoolName, List<FleetServer>> =
        fleet.servers.values.filter { !it.leaving }.groupBy { it.pool }.mapValues { (_, servers) ->
            servers.sortedWith(
                compareBy<FleetServer> { it.domain != ownDomain }
                    .thenBy { RendezvousHash.weight(hostKey, it.id) }
            )
        }
    private val nearby = byPool.mapValues { it.value.take(candidateLimit) }
    private val rings = byPool.filterValues {
        it.size > candidateLimit
    }.mapValues { ring(it.value) }
    private val lowestTier: TierRank? = fleet.tiers.maxOfOrNull { it.rank }

    fun find(id: BackendServerId): FleetServer? = fleet.servers[id]

    fun pool(name: PoolName): Pool? = fleet.pools[name]

    /** Returns the servers of the pool that are not leaving, the host's failure domain first. */
    fun ofPool(name: PoolName): List<FleetServer> = byPool[name].orEmpty()

    /**
     * Returns the servers to compare for [request], including the one that consistent hashing
     * assigns to its prefix.
     */
    fun candidates(request: WaitingRequest): List<FleetServer> {
        val servers = nearby[request.pool].orEmpty()
        val ring = rings[request.pool] ?: return servers
        val prefix = request.prefixHash ?: return servers
        val home = (ring.ceilingEntry(prefix) ?: ring.firstEntry()).value
        return if (home in servers) servers else servers + home
    }

    /**
     * Returns true if no tier is below [tier], so that its requests can be shed without a check.
     */
    fun isLowest(tier: TierRank): Boolean = lowestTier != null && lowestTier <= tier

    private fun ring(servers: List<FleetServer>): TreeMap<Long, FleetServer> {
        val ring = TreeMap<Long, FleetServer>()
        servers.forEach { server ->
            repeat(RING_POINTS) { ring[RendezvousHash.weight(it.toLong(), server.id)] = server }
        }
        return ring
    }

    private companion object {
        const val RING_POINTS = 16
    }
}
