package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.common.Clock
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer

/**
 * Holds back servers of a version that appears beside others, until its order can have arrived: the
 * servers and the orders come by separate feeds. A service's first versions are not held.
 *
 * @param holdMs time within which an order arrives, in milliseconds.
 */
internal class HeldVersions(private val clock: Clock, private val holdMs: () -> Long) {
    private val sinceMs = HashMap<ServiceId, HashMap<String?, Long>>()

    /** Records the registered servers. */
    fun update(servers: Collection<RegisteredServer>) = servers.groupBy { it.service }
        .forEach { (service, registered) ->
            val isFirst = service !in sinceMs
            val known = sinceMs.getOrPut(service) { HashMap() }
            val versions = registered.mapTo(HashSet()) { it.version }
            val fromMs = if (isFirst || versions.none { it in known }) NEVER else clock.nowMs()
            versions.forEach { known.putIfAbsent(it, fromMs) }
        }

    /** Returns whether [server] must not be used yet. */
    fun isHeld(server: RegisteredServer): Boolean {
        val fromMs = sinceMs[server.service]?.get(server.version) ?: return false
        return clock.nowMs() - fromMs < holdMs()
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2
    }
}
