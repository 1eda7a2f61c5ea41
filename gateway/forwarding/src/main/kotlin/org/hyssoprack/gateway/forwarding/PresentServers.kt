package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.fleet.ServerLimitRegistry
import org.hyssoprack.serving.placement.ServerState

/** The servers of one service that are not leaving, and what they accept together. */
internal class PresentServers(
    private val states: Collection<ServerState>,
    private val limits: ServerLimitRegistry
) {
    private val present get() = states.filter { !it.server.isLeaving }

    /** Slots of the servers, used or not. */
    val slots: Int get() = present.sumOf { it.server.slots }

    /** Whether every server accepts a limited rate of requests only. */
    val areAllLimited: Boolean
        get() {
            if (limits.isEmpty) return false
            val present = present
            return present.isNotEmpty() && present.all { it.rateLimit != null }
        }

    /** Time until a request may be sent to the first server, in milliseconds. */
    val closedMs: Long get() = present.minOfOrNull { it.closedMs } ?: 0

    /** Rate at which the limits of the servers admit requests on this host, per second. */
    val hostPerS: Double get() = present.sumOf { it.rateLimit?.hostPerS ?: 0.0 }

    /**
     * Returns the time until the rate limits admit a request after [ahead] others, in milliseconds.
     */
    fun limitedWaitMs(ahead: Int): Long {
        val firstMs = present.mapNotNull { it.rateLimit?.waitMs() }.minOrNull() ?: 0
        return firstMs + (ahead / hostPerS * MS_PER_S).toLong()
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
