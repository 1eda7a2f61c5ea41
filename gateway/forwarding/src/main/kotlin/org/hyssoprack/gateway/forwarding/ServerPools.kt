package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.LeavingServerRegistry
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerInstance
import org.hyssoprack.serving.placement.PeerLoad
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.settings.ServiceSpec

/** All services' [ServerPool]s. */
class ServerPools(
    private val clock: Clock,
    private val chooser: ServerChooser,
    private val observer: QueueObserver = NoOpQueueObserver,
    private val departures: LeavingServerRegistry = LeavingServerRegistry(clock)
) {
    private val pools = HashMap<ServiceId, ServerPool>()
    private var specs: Map<ServiceId, ServiceSpec> = emptyMap()
    private var registered: Collection<RegisteredServer> = emptyList()

    /** The pool of [service]; empty if no server is registered for it. */
    operator fun get(service: ServiceId): ServerPool =
        pools.getOrPut(service) { ServerPool(clock, chooser, observer) }

    /** Takes over the services of new settings. */
    fun updateServices(services: Map<ServiceId, ServiceSpec>) {
        specs = services
        refresh()
    }

    /** Takes over the registered servers. */
    fun updateServers(servers: Collection<RegisteredServer>) {
        registered = servers
        refresh()
    }

    /** Runs of servers that have said that they leave. */
    val leaving: Set<ServerInstance> get() = departures.runs

    /** [run] has said that it leaves. Returns whether this is news. */
    fun markLeaving(run: ServerInstance): Boolean {
        val isNews = departures.add(run)
        if (isNews && registered.any { it.run == run }) refresh()
        return isNews
    }

    /** Forgets what other hosts have in progress. */
    fun clearPeerLoads() = pools.values.flatMap {
        it.servers
    }.forEach { it.setPeerLoad(PeerLoad()) }

    /** Sets what all hosts have in progress at each server, this one included. */
    fun setFleetLoads(loads: Map<BackendServerId, PeerLoad>) {
        pools.values.flatMap { it.servers }.forEach {
            it.setPeerLoad((loads[it.server.id] ?: PeerLoad()).without(it.ownLoad))
        }
    }

    /** What is in progress at each server where there is any, as far as this host lends slots. */
    fun loads(): Map<BackendServerId, PeerLoad> = pools.values
        .flatMap { it.servers }
        .filter { it.ownLoad.running > 0 }
        .associate { it.server.id to it.ownLoad }

    /** Requests in all queues. */
    fun queueLength(): Int = pools.values.sumOf { it.queueLength }

    /** Grants what has become possible with time, and refuses what has waited too long. */
    fun tick() = pools.values.forEach { it.dispatchWaiting() }

    private fun refresh() {
        val byService = registered.map { departures.marked(it) }.groupBy { it.service }
        (pools.keys + byService.keys).toSet().forEach { service ->
            this[service].update(byService[service].orEmpty(), specs[service])
        }
    }
}
