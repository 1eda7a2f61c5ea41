package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.queue.QueuedRequest

/** Builds this host's requests for slots. */
internal class RequestMessages(
    private val self: HostId,
    private val domain: FailureDomain,
    private val pools: ServerPools,
    private val contact: OwnerContact,
    private val clock: Clock
) {
    /** Returns the message that requests a slot from [owner], not one of the [unusable] servers. */
    fun requestOf(
        owner: HostId,
        number: Long,
        request: QueuedRequest,
        charge: QuotaCharge?,
        unusable: Set<BackendServerId>
    ): SlotMessage.Request {
        val nowMs = clock.nowMs()
        val due = charge?.takeIf { it.chargedBy == null && it.account.ratePerS > 0 }
        return SlotMessage.Request(
            number = number,
            service = request.service,
            domain = domain,
            account = due?.account?.name,
            quota = due?.amount ?: 0.0,
            promptTokens = request.work.promptTokens,
            outputTokens = request.work.outputTokens,
            rank = request.rank,
            ageMs = nowMs - request.arrivedMs,
            targetMs = request.targetMs,
            giveUpMs = request.giveUpMs - nowMs,
            endMs = request.endMs - nowMs,
            patienceMs = request.patienceMs,
            tried = request.avoid,
            excludedServers = excludedServers(owner, request.service) + unusable,
            isStarted = request.isStarted,
            suspectParts = request.suspectParts,
            caller = request.account,
            route = request.route
        )
    }

    private fun excludedServers(owner: HostId, service: ServiceId): Set<BackendServerId> {
        val servers = pools[service].servers
        val closed = servers.filter { it.server.isLeaving || it.closedMs > 0 }
            .mapTo(HashSet()) { it.server.id }
        val overLimit = servers.filter { isOverRateLimit(owner, it) }.map { it.server.id }
        // With every server excluded, the request would wait at the owner in vain.
        return (closed + overLimit).takeIf { it.size < servers.size } ?: closed
    }

    /**
     * Returns whether the server's rate limit leaves this host no request now, and [owner] is not
     * known to keep the limit.
     */
    private fun isOverRateLimit(owner: HostId, state: ServerState): Boolean =
        !state.isWithinRateLimit &&
            owner != self &&
            !(owner == contact.owner && pools.limits.isConfirmed(state.server.instance))
}
