package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.sharing.GrantRate

/**
 * State of a service's queue when a request is rejected, for the detail of the rejection.
 *
 * @property ahead waiting requests that go before a new one of the request's rank.
 * @property grants slots granted in the last [GrantRate.WINDOW_MS].
 */
internal class QueueStatus(
    private val ahead: Int,
    private val waiting: Int,
    private val grants: Int,
    private val servers: Collection<ServerState>
) {
    override fun toString(): String {
        val slots = servers.sumOf { it.server.slots }
        val used = servers.sumOf { it.load.running }
        val open = servers.count { it.isOpen }
        val limited = servers.mapNotNull { it.rateLimit?.perS }
        return "$ahead of $waiting waiting requests go before it; " +
            "$grants slots were granted in the last ${GrantRate.WINDOW_MS} ms; " +
            "$used of $slots slots are used, $open of ${servers.size} servers are open, " +
            "${limited.size} accept a limited rate: ${limited.sum()} requests per second."
    }
}
