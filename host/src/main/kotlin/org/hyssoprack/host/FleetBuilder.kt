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

/** Joins the host list, the members and the policy to the fleet that the schedulers work on. */
class FleetBuilder(private val ownership: Ownership) {
    /** The fleet; servers that no pool takes, or that nobody can own, are left out. */
    fun build(
        servers: Collection<BackendServer>,
        unavailable: Set<BackendServerId>,
        view: MemberView,
        policy: CompiledPolicy
    ): Fleet {
        val pools = policy.pools.values
        val fleetServers = servers.mapNotNull { server ->
            val pool = pools.firstOrNull { takes(it, server) } ?: return@mapNotNull null
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

    private fun takes(pool: Pool, server: BackendServer): Boolean {
        if (pool.model != null) return pool.model == server.model
        return pool.service != null && pool.service == server.service
    }
}
