package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.queue.QueuedRequest

/** The slots that this host's requests hold, whoever granted them. */
internal class RunningSlots(
    private val self: HostId,
    private val pools: ServerPools,
    private val contact: OwnerContact,
    private val clock: Clock,
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val running = HashMap<Long, Slot>()

    /** Adds a slot; [owner] is null if this host allocated it itself. */
    fun add(
        number: Long,
        request: QueuedRequest,
        owner: HostId?,
        tokensAhead: Int,
        state: ServerState,
        isTrial: Boolean = false
    ): Slot = Slot(
        number = number,
        request = request,
        state = state,
        owner = owner,
        tokensAhead = tokensAhead,
        isAppliedHere = owner != self,
        isTrial = isTrial,
        isCompared = pools.versions.isComparing(request.service),
        notifyOwner = ::notifyOwner
    ).also { running[number] = it }

    /** Returns the number of slots of each server of [service] that this host allocated itself. */
    fun aloneCounts(service: ServiceId): Map<BackendServerId, Int> = running.values
        .filter { it.owner == null && it.request.service == service }
        .groupingBy { it.state.server.id }.eachCount()

    /** Returns the slots for a report to [to]. */
    fun reportFor(to: HostId): List<RunningSlot> {
        val nowMs = clock.nowMs()
        // If this host is the owner, its server states already include what was applied to them
        // directly.
        return running.values.filter { to != self || !it.isAppliedHere }.map {
            RunningSlot(
                number = it.number,
                service = it.request.service,
                server = it.state.server.id,
                promptTokens = it.request.work.promptTokens,
                outputTokens = it.request.work.outputTokens,
                isPromptRead = it.isPromptRead,
                endMs = it.request.endMs - nowMs
            )
        }
    }

    /**
     * Sends [message] to the owner, and to the one that granted the slot if the owner has changed
     * since.
     */
    private fun notifyOwner(slot: Slot, message: SlotMessage) {
        if (slot.isReleased) running.remove(slot.number)
        setOfNotNull(contact.owner, slot.owner).forEach { send(it, message) }
        if (slot.isReleased) pools[slot.request.service].dispatchWaiting()
    }
}
