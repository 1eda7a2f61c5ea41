package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.common.Clock
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.rollout.Rollout
import org.hyssoprack.rollout.RolloutBounds
import org.hyssoprack.rollout.RolloutState
import org.hyssoprack.rollout.RolloutStatus
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.WorkEstimate

/**
 * [VersionGate] of a host. A version that has not been accepted gets requests only through the
 * decider, and only while this host's information is fresh; nothing from then on after a roll-back.
 *
 * @param bounds null in a deployment without roll-outs, where versions make no difference.
 * @param decidedHere returns the roll-out of a service that this host decides; null if there is none.
 * @param graceMs time after a service's first server in which its versions become known, in
 *   milliseconds. A version that appears later needs an order.
 */
internal class RolloutGate(
    private val view: RolloutView,
    private val bounds: RolloutBounds?,
    private val decidedHere: (ServiceId) -> Rollout?,
    private val clock: Clock,
    graceMs: () -> Long
) : VersionGate {
    private val held = HeldVersions(clock, graceMs)

    /** Records the registered servers. */
    fun update(servers: Collection<RegisteredServer>) = held.update(servers)

    /** Whether this host's information on roll-outs is recent enough to use a new version. */
    val isFresh: Boolean
        get() = bounds.let { it != null && view.ageMs <= it.rollbackMs * FRESH_PERCENT / 100 }

    override fun isComparing(service: ServiceId): Boolean =
        bounds != null && view.statusOf(service)?.state == RolloutState.RUNNING

    override fun allowed(
        servers: Collection<ServerState>,
        byOwner: Boolean
    ): Collection<ServerState> {
        val service = servers.firstOrNull()?.server?.service ?: return servers
        if (bounds == null) return servers
        val status = view.statusOf(service) ?: return servers.filter { !held.isHeld(it.server) }
        val decided = decidedHere(service)
        // After a start, whether the new version has been accepted is not known until it is read.
        if (!view.isStatusRead && decided == null) return emptyList()
        val isNewAllowed = isNewAllowed(status, decided.takeIf { byOwner })
        val isNewPreferred = isNewAllowed && decided?.isAccepted == true
        val (new, old) = servers.partition { it.server.version == status.to }
        if (isNewPreferred && new.any { it.isOpen }) return new
        return old.filter { isOldAllowed(it.server, status) } +
            if (isNewAllowed) new else emptyList()
    }

    override fun mayUseGranted(server: RegisteredServer): Boolean {
        if (bounds == null) return true
        val status = view.statusOf(server.service) ?: return true
        return when (status.state) {
            RolloutState.RUNNING -> server.version != status.to || isFresh
            RolloutState.SUCCEEDED -> server.version == status.to
            RolloutState.ROLLED_BACK -> server.version != status.to
        }
    }

    override fun recordGrant(
        server: RegisteredServer,
        route: RouteName?,
        work: WorkEstimate
    ): GrantSample? {
        val rollout = decidedHere(server.service) ?: return null
        if (bounds == null || rollout.state.isFinal) return null
        val isNew = server.version == rollout.order.to
        rollout.recordGrant(isNew)
        return GrantSample(rollout, isNew, route, work, clock)
    }

    private fun isOldAllowed(server: RegisteredServer, status: RolloutStatus): Boolean =
        status.state != RolloutState.SUCCEEDED &&
            !view.isRefused(server.service, server.version)

    private fun isNewAllowed(status: RolloutStatus, decided: Rollout?): Boolean =
        when (status.state) {
            RolloutState.RUNNING ->
                decided != null && decided.order.to == status.to && decided.mayExpose && isFresh

            RolloutState.SUCCEEDED -> true

            RolloutState.ROLLED_BACK -> false
        }

    private companion object {
        // Part of the roll-back bound; the rest is for requests that are on their way.
        const val FRESH_PERCENT = 70
    }
}
