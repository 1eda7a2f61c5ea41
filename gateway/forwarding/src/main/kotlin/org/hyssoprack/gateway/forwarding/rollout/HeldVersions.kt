package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.common.Clock
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer

/**
 * Holds back servers of a version that appears beside others without an order: only an order permits
 * its use, and the servers and the orders come by separate feeds. A version is used without an order
 * once no other is left.
 *
 * @param graceMs time after a service's first server in which its versions become known, in
 *   milliseconds.
 */
internal class HeldVersions(private val clock: Clock, private val graceMs: () -> Long) {
    private class Versions(val firstMs: Long) {
        val known = HashSet<String?>()
    }

    private val services = HashMap<ServiceId, Versions>()

    /** Records the registered servers. */
    fun update(servers: Collection<RegisteredServer>) = servers.groupBy { it.service }
        .forEach { (service, registered) ->
            val versions = services.getOrPut(service) { Versions(clock.nowMs()) }
            val now = registered.map { it.version }
            val isStarting = clock.nowMs() - versions.firstMs < graceMs()
            if (isStarting || now.none { it in versions.known }) versions.known += now
        }

    /** Returns whether [server] must not be used without an order. */
    fun isHeld(server: RegisteredServer): Boolean =
        services[server.service]?.let { server.version !in it.known } == true
}
