package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.common.Clock
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer

/**
 * Holds back servers of a version that appears beside others without an order, for a time: the
 * servers and the orders come by separate feeds, so that the order may be on its way. After that
 * time the version is used, since servers are also replaced by newer ones without any order.
 *
 * @param graceMs time after a service's first server in which its versions become known, in
 *   milliseconds.
 */
internal class HeldVersions(private val clock: Clock, private val graceMs: () -> Long) {
    private class Versions(val firstMs: Long) {
        val heldUntilMs = HashMap<String?, Long>()

        fun isUsable(version: String?, nowMs: Long) =
            heldUntilMs[version].let { it != null && it <= nowMs }
    }

    private val services = HashMap<ServiceId, Versions>()

    /** Records the registered servers. */
    fun update(servers: Collection<RegisteredServer>) = servers.groupBy { it.service }
        .forEach { (service, registered) ->
            val nowMs = clock.nowMs()
            val versions = services.getOrPut(service) { Versions(nowMs) }
            val now = registered.mapTo(HashSet()) { it.version }
            val isStarting = nowMs - versions.firstMs < graceMs()
            if (isStarting || now.none { versions.isUsable(it, nowMs) }) {
                now.forEach { versions.heldUntilMs[it] = nowMs }
            } else {
                now.forEach { versions.heldUntilMs.putIfAbsent(it, nowMs + HOLD_MS) }
            }
        }

    /** Returns whether [server] must not be used yet without an order. */
    fun isHeld(server: RegisteredServer): Boolean =
        services[server.service]?.isUsable(server.version, clock.nowMs()) == false

    private companion object {
        // Both feeds bring a row within this time unless the store is in trouble. Held longer,
        // servers that replace others without an order would be missing as capacity.
        const val HOLD_MS = 1_000L
    }
}
