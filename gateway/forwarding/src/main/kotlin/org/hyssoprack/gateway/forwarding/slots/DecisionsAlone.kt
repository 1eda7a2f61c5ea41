package org.hyssoprack.gateway.forwarding.slots

import arrow.core.Either
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.MessageNumbers
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.gateway.forwarding.acquire
import org.hyssoprack.serving.limits.HostPosition
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * Allocates slots on this host, by what it knows of the servers' loads and within its share of the
 * quotas. The owner learns of them from the next report, which is sent at once. Load addressed:
 * an owner whose replies are late, or that is about to be replaced. All hosts decide alone then, on
 * loads of about a second ago, so each uses its own part of the slots only ([slotPart]).
 *
 * @param isOwnerQuiet whether the owner in use has sent nothing for longer than it does without load.
 * @param position this host's position among the hosts that may be serving.
 */
internal class DecisionsAlone(
    private val pools: ServerPools,
    private val running: RunningSlots,
    private val charges: SlotCharges,
    private val numbers: MessageNumbers,
    private val position: () -> HostPosition,
    private val isOwnerQuiet: () -> Boolean,
    private val reportSoon: () -> Unit
) {
    /**
     * Allocates a free slot of this host's part at once; null if there is none. If the owner sends
     * nothing at all, a slot of any server that is free as far as known will do, up to twice the
     * part in total, since the servers of the part may be limited or fail.
     */
    fun tryNow(request: QueuedRequest, charge: QuotaCharge?): Slot? {
        val part = part(request)
        val used = running.aloneCounts(request.service)
        val free = part.filter { (server, slots) -> (used[server] ?: 0) < slots }.keys
        allocate(request, charge, free)?.let { return it }
        val isAnyAllowed = isOwnerQuiet() && used.values.sum() < 2 * part.values.sum()
        if (!isAnyAllowed) return null
        val all = pools[request.service].servers.mapTo(HashSet()) { it.server.id }
        return allocate(request, charge, all)
    }

    private fun part(request: QueuedRequest): Map<BackendServerId, Int> =
        slotPart(pools[request.service].servers, position())

    private fun allocate(
        request: QueuedRequest,
        charge: QuotaCharge?,
        servers: Set<BackendServerId>
    ): Slot? {
        if (servers.isEmpty()) return null
        val isChargedHere = charge != null && charge.chargedBy == null
        if (charge != null && !charges.chargeLocally(charge, isLate = true)) return null
        val state = pools[request.service].tryAcquire(request, servers)
        if (state == null && charge != null && isChargedHere) charges.refund(charge)
        return state?.let { slot(request, it) }
    }

    /**
     * Waits for a slot of any server, while there is no owner. Returns null if this host's share of
     * the quota is exhausted.
     */
    suspend fun acquire(request: QueuedRequest, charge: QuotaCharge?): Either<Failure, Slot>? {
        val isChargedHere = charge != null && charge.chargedBy == null
        if (charge != null && !charges.chargeLocally(charge, isLate = false)) return null
        return pools[request.service].acquire(request)
            .onLeft { if (charge != null && isChargedHere) charges.refund(charge) }
            .map { slot(request, it) }
    }

    private fun slot(request: QueuedRequest, state: ServerState): Slot {
        reportSoon()
        return running.add(numbers.next(), request, null, state.load.promptTokens, state)
    }
}

/**
 * Returns the number of slots of each server that the host at [position] may use alone. The parts of
 * all hosts are the slots of all servers, except that a host has one slot at least.
 */
internal fun slotPart(
    servers: Collection<ServerState>,
    position: HostPosition
): Map<BackendServerId, Int> {
    val sorted = servers.map { it.server }.sortedBy { it.id.value }
    val total = sorted.sumOf { it.slots }
    val from = position.index * total / position.count
    val to = maxOf((position.index + 1) * total / position.count, from + 1)
    var first = 0
    val part = LinkedHashMap<BackendServerId, Int>()
    for (server in sorted) {
        val end = first + server.slots
        val slots = minOf(end, to) - maxOf(first, from)
        if (slots > 0) part[server.id] = slots
        first = end
    }
    return part
}
