package org.hyssoprack.host

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.Ownership
import org.hyssoprack.policy.CompiledPolicy
import org.hyssoprack.policy.Pool
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.FleetServer
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerState

/** Builds the fleet for the schedulers from the host list, the member view and the policy. */
class FleetBuilder(private val ownership: Ownership) {
    /** Returns the fleet without the servers that match no pool or have no eligible owner. */
    fun build(
        servers: Collection<BackendServer>,
        unavailable: Set<BackendServerId>,
        view: MemberView,
        policy: CompiledPolicy
    ): Fleet {
        val pools = policy.pools.values
        val fleetServers = servers.mapNotNull { server ->
            val pool = pools.firstOrNull { accepts(it, server) } ?: return@mapNotNull null
            val owner = ownership.owner(view, server.id, server.domain) ?: return@mapNotNull null
            FleetServer(
                id = server.id,
                pool = pool.name,
                domain = server.domain,
                generation = server.generation,
                owner = owner,
                slots = server.slots,
                canSuspend = server.canSuspend,
                leaving = server.state == BackendServerState.LEAVING || server.id in unavailable
            )
        }
        return Fleet(
            servers = fleetServers.associateBy { it.id },
            pools = policy.pools,
            tiers = policy.tiers
        )
    }

    private fun accepts(pool: Pool, server: BackendServer): Boolean {
        if (pool.model != null) return pool.model == server.model
        return pool.service != null && pool.service == server.service
    }
}
