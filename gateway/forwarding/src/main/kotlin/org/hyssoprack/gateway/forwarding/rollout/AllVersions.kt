package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.WorkEstimate

/** [VersionGate] of a deployment without roll-outs: versions make no difference. */
object AllVersions : VersionGate {
    override fun isComparing(service: ServiceId) = false

    override fun allowed(servers: Collection<ServerState>, byOwner: Boolean) = servers

    override fun mayUseGranted(server: RegisteredServer) = true

    override fun recordGrant(server: RegisteredServer, route: RouteName?, work: WorkEstimate) = null
}
