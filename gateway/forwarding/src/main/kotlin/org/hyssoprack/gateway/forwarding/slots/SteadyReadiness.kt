package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock

/**
 * Whether this host can grant slots: it is ready, or was ready a short time ago. Under load, a
 * host's settings are confirmed late now and then, while those in force still serve: the host that
 * relays a request checks the keys itself. Without the grace time, each late confirmation changes
 * the slot owner.
 */
internal class SteadyReadiness(private val clock: Clock, private val isReady: () -> Boolean) {
    private var readyMs: Long? = null

    fun isSteady(): Boolean {
        val nowMs = clock.nowMs()
        if (isReady()) readyMs = nowMs
        return readyMs.let { it != null && nowMs - it <= GRACE_MS }
    }

    private companion object {
        // Longer than a host waits for the settings' reader before it asks the store itself.
        const val GRACE_MS = 2_000L
    }
}
