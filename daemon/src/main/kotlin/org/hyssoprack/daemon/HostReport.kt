package org.hyssoprack.daemon

import org.hyssoprack.host.FleetTracker
import org.hyssoprack.host.OwnerTask
import org.hyssoprack.membership.CallerAddressSelector
import org.hyssoprack.membership.Membership

/** Reports this host's view of hosts and backend servers to operators and callers. */
internal class HostReport(
    private val settings: DaemonSettings,
    private val membership: Membership,
    private val fleet: FleetTracker,
    private val owner: OwnerTask,
    private val addresses: CallerAddressSelector = CallerAddressSelector()
) {
    /** Returns the addresses that callers may use. */
    fun callerHosts(): CallerHostsBody {
        val chosen = addresses.choose(membership.view.value, settings.domain, settings.region)
        return CallerHostsBody(
            ttlMs = settings.addressTtlMs,
            hosts = chosen.map {
                CallerHostBody(
                    host = it.ref.host.value,
                    incarnation = it.ref.incarnation.toString(),
                    address = it.address.toString()
                )
            }
        )
    }

    /** Returns all hosts in this host's member view. */
    fun hosts(): List<HostRow> = membership.view.value.members.values.map {
        HostRow(
            host = it.ref.host.value,
            incarnation = it.ref.incarnation.toString(),
            state = it.state.name.lowercase(),
            domain = it.domain.value,
            region = it.region.value,
            link = it.linkAddress.toString(),
            callers = it.callerAddress.toString(),
            load = it.load,
            bundle = it.bundle.value
        )
    }.sortedBy { it.host }

    /**
     * Returns all backend servers of the fleet, with limits and queues only for those that this
     * host owns.
     */
    fun backendServers(): List<BackendServerRow> {
        val digests = owner.digests
        val servers = fleet.fleet.value?.servers.orEmpty().values
        return servers.mapNotNull { server ->
            val entry = fleet.server(server.id) ?: return@mapNotNull null
            val digest = digests[server.id]
            BackendServerRow(
                id = server.id.value,
                kind = entry.kind.name.lowercase(),
                address = entry.address.toString(),
                domain = server.domain.value,
                generation = server.generation.value,
                serves = entry.model?.value ?: entry.service?.value,
                pool = server.pool.value,
                owner = server.owner.value,
                leaving = server.leaving,
                limit = digest?.limit,
                lent = digest?.lent,
                waiting = digest?.waiting,
                tokenMs = digest?.tokenMs
            )
        }.sortedBy { it.id }
    }
}
