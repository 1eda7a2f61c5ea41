package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.WorkEstimate

/** Decides which versions of backend servers may get requests while a version is rolled out. */
interface VersionGate {
    /** Whether the versions of [service] are compared now. */
    fun isComparing(service: ServiceId): Boolean

    /**
     * Returns those of [servers], all of one service, that may get a request now.
     *
     * @param byOwner whether the request is granted by the slot owner, which may use a version that
     *   has not been accepted yet.
     */
    fun allowed(servers: Collection<ServerState>, byOwner: Boolean): Collection<ServerState>

    /** Returns whether this host may use a slot of [server] that the slot owner has granted. */
    fun mayUseGranted(server: RegisteredServer): Boolean

    /**
     * Records that the slot owner granted a slot of [server]. Returns what collects its result, or
     * null if the versions of its service are not compared.
     *
     * @param work work with all prompt tokens that the server has to read first.
     */
    fun recordGrant(server: RegisteredServer, route: RouteName?, work: WorkEstimate): GrantSample?
}
