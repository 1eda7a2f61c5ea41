package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.rollout.AllVersions
import org.hyssoprack.gateway.forwarding.rollout.VersionGate
import org.hyssoprack.serving.fleet.LeavingServerRegistry
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerInstance
import org.hyssoprack.serving.fleet.ServerLimitRegistry
import org.hyssoprack.serving.limits.CrashingPartRegistry
import org.hyssoprack.serving.limits.PartGate
import org.hyssoprack.serving.placement.MemoryBounds
import org.hyssoprack.serving.placement.PeerLoad
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.settings.ServiceSpec
import org.hyssoprack.serving.sharing.SharingState

/**
 * The [ServerPool]s of all services.
 *
 * @property limits request rates that servers accept from all hosts together.
 * @property parts parts of prompts that crash servers.
 * @property memory shares of the servers' memory that may be planned.
 * @property versions versions of servers that may get requests.
 */
class ServerPools(
    private val clock: Clock,
    private val chooser: ServerChooser,
    private val observer: QueueObserver = NoOpQueueObserver,
    private val leavingServers: LeavingServerRegistry = LeavingServerRegistry(clock),
    val limits: ServerLimitRegistry = ServerLimitRegistry(clock, NoOpEventLog),
    val parts: PartGate = PartGate(CrashingPartRegistry(clock, NoOpEventLog)),
    val memory: MemoryBounds = MemoryBounds(clock, NoOpEventLog),
    val versions: VersionGate = AllVersions
) {
    private val pools = HashMap<ServiceId, ServerPool>()
    private var specs: Map<ServiceId, ServiceSpec> = emptyMap()
    private var registered: Collection<RegisteredServer> = emptyList()

    /** The pool of [service]; empty if no server is registered for it. */
    operator fun get(service: ServiceId): ServerPool = pools.getOrPut(service) { newPool() }

    private fun newPool() = ServerPool(
        clock = clock,
        chooser = chooser,
        observer = observer,
        limits = limits,
        memory = memory,
        versions = versions
    )

    /** Updates the pools to the services of new settings. */
    fun updateServices(services: Map<ServiceId, ServiceSpec>) {
        specs = services
        refresh()
    }

    /** Updates the pools to the registered servers. */
    fun updateServers(servers: Collection<RegisteredServer>) {
        registered = servers
        refresh()
    }

    /** Server instances that announced their shutdown. */
    val leaving: Set<ServerInstance> get() = leavingServers.instances

    /**
     * Records that [instance] announced its shutdown. Returns whether this was not known before.
     */
    fun markLeaving(instance: ServerInstance): Boolean {
        val isNew = leavingServers.add(instance)
        if (isNew && registered.any { it.instance == instance }) refresh()
        return isNew
    }

    /** Clears the load of the other hosts. */
    fun clearPeerLoads() = pools.values.flatMap {
        it.servers
    }.forEach { it.setPeerLoad(PeerLoad()) }

    /** Sets the load of all hosts, this one included, on each server. */
    fun setFleetLoads(loads: Map<BackendServerId, PeerLoad>) {
        pools.values.flatMap { it.servers }.forEach {
            it.setPeerLoad((loads[it.server.id] ?: PeerLoad()).without(it.ownLoad))
        }
    }

    /** Returns the load on each server that has any, as far as this host grants slots. */
    fun loads(): Map<BackendServerId, PeerLoad> = pools.values
        .flatMap { it.servers }
        .filter { it.ownLoad.running > 0 }
        .associate { it.server.id to it.ownLoad }

    /** Number of servers on which work currently takes at least [SLOW_PACE] of the usual time. */
    fun slowCount(): Int =
        pools.values.sumOf { pool -> pool.servers.count { it.pace.current >= SLOW_PACE } }

    /** Returns how the slots of the services are shared, for the next owner. */
    fun sharing(): List<SharingState> =
        pools.mapNotNull { (service, pool) -> pool.sharing(service) }

    /** Returns the number of requests in all queues. */
    fun queueLength(): Int = pools.values.sumOf { it.queueLength }

    /**
     * Grants slots that have become available over time, and rejects requests that waited too long.
     */
    fun tick() = pools.values.forEach { it.dispatchWaiting() }

    /** Forgets what is known of versions of the servers' software that are gone. */
    fun forgetOldVersions() = registered.groupBy({ it.service }, { it.version })
        .forEach { (service, versions) -> parts.registry.keepVersions(service, versions.toSet()) }

    private fun refresh() {
        memory.forgetOthers(registered.mapTo(HashSet()) { it.id })
        limits.forgetOthers(registered.mapTo(HashSet()) { it.instance })
        val byService = registered.map { leavingServers.withLeavingFlag(it) }.groupBy { it.service }
        (pools.keys + byService.keys).toSet().forEach { service ->
            this[service].update(byService[service].orEmpty(), specs[service])
        }
    }

    private companion object {
        // Clearly slower than usual, beyond the variation of single figures.
        const val SLOW_PACE = 1.5
    }
}
