package org.hyssoprack.host

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.launch
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.eq
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.Membership
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.settings.ActiveBundle
import org.hyssoprack.settings.BundleHolder
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.HostList

/**
 * Keeps the fleet up to date: polls the host list and observes the member view and the bundle in
 * force. While the host list cannot be read, the last list stays in use.
 */
class FleetTracker(
    private val hostList: HostList,
    private val membership: Membership,
    private val bundles: BundleHolder,
    private val builder: FleetBuilder,
    private val log: EventLog,
    private val onFleet: (Fleet) -> Unit
) {
    private val servers = MutableStateFlow<Map<BackendServerId, BackendServer>>(emptyMap())
    private val unavailable = MutableStateFlow<Set<BackendServerId>>(emptySet())
    private val current = MutableStateFlow<Fleet?>(null)

    /** The current fleet; null until a settings bundle is in force. */
    val fleet: StateFlow<Fleet?> = current

    /** Returns the host list's entry for [id], or null if there is none. */
    fun server(id: BackendServerId): BackendServer? = servers.value[id]

    /** Returns the servers that [self] owns. */
    fun owned(self: HostId): List<BackendServer> {
        val fleet = current.value ?: return emptyList()
        return fleet.servers.values.filter { it.owner == self }.mapNotNull { server(it.id) }
    }

    /** Marks whether a server accepts work, as determined by its owner. */
    fun setAvailable(id: BackendServerId, available: Boolean) {
        unavailable.value = if (available) unavailable.value - id else unavailable.value + id
    }

    /** Starts the task in [scope]. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        launch { pollHostList() }
        val view = membership.view.distinctUntilChanged(::sameOwners)
        combine(servers, unavailable, view, bundles.active, ::build).collect(::publish)
    }

    private fun build(
        list: Map<BackendServerId, BackendServer>,
        unavailableIds: Set<BackendServerId>,
        view: MemberView,
        bundle: ActiveBundle?
    ): Fleet? = bundle?.let { builder.build(list.values, unavailableIds, view, it.policy) }

    private fun publish(fleet: Fleet?) {
        if (fleet == null || fleet == current.value) return
        current.value = fleet
        onFleet(fleet)
    }

    private suspend fun pollHostList() {
        while (true) {
            hostList.backendServers().fold(
                { log.event("host-list-unreadable", "code" eq it.code.number) },
                { list -> servers.value = list.associateBy { it.id } }
            )
            delay(HOST_LIST_POLL_MS)
        }
    }

    private fun sameOwners(a: MemberView, b: MemberView): Boolean =
        a.live().map { it.ref } == b.live().map { it.ref }

    private companion object {
        const val HOST_LIST_POLL_MS = 1_000L
    }
}
