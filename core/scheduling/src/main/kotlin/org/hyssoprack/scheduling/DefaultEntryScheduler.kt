package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/** [EntryScheduler] of the entry host [self], which is located in [ownDomain]. */
class DefaultEntryScheduler(
    self: HostRef,
    ownDomain: FailureDomain,
    settings: SchedulingSettings = SchedulingSettings()
) : EntryScheduler {
    private val state = EntryState(self, ownDomain, settings)
    private val registrations = Registrations(state)
    private val slots = EntrySlots(state, registrations)
    private val placement = RequestPlacement(state, registrations)
    private val suspendedRequests = SuspendedRequests(state)
    private val loadShedder = LoadShedder(state, placement)
    private val leaseRenewer = LeaseRenewer(state)

    override fun submit(nowMs: Long, request: WaitingRequest): List<EntryOutput> {
        if (state.requests.isKnown(request.id)) return emptyList()
        val pool = state.servers.pool(request.pool)
        if (pool == null || state.servers.ofPool(request.pool).isEmpty()) {
            return listOf(EntryOutput.Reject(request.id, noBackendServer()))
        }
        val long = request.completionTokens >= state.settings.longCompletionTokens
        val entry = EntryRequest(request, SlotKind(request.pool, request.tier, long))
        state.requests.add(entry)
        val ranked = state.rank(nowMs, entry)
        val best = ranked.first().server
        entry.latestDispatchAtMs = state.latestDispatch(nowMs, entry, best)
        val isInTime = nowMs < entry.latestDispatchAtMs
        if (!isInTime) loadShedder.begin(nowMs, entry, ResultCode.DEADLINE_UNREACHABLE)
        if (isInTime && slots.dispatchOnIdle(nowMs, entry, best)) return state.takeOutputs()
        if (state.requests.waitingInTier(entry.kind) > pool.queueLimit) {
            loadShedder.begin(nowMs, entry, ResultCode.QUEUE_FULL)
        }
        if (state.requests.find(entry.id) != null) placement.register(nowMs, entry, ranked)
        return state.takeOutputs()
    }

    override fun firstToken(nowMs: Long, id: RequestId, elapsedMs: Long): List<EntryOutput> {
        state.requests.find(id)?.let { state.firstToken(nowMs, it, elapsedMs) }
        return emptyList()
    }

    override fun finished(nowMs: Long, id: RequestId, report: FinishReport): List<EntryOutput> {
        val entry = state.requests.find(id) ?: return emptyList()
        if (entry.phase == RequestPhase.WAITING) return emptyList()
        state.recordMeasurement(nowMs, entry, report)
        state.requests.ended(nowMs, entry)
        if (entry.phase == RequestPhase.SUSPENDED) suspendedRequests.withdraw(entry)
        slots.release(nowMs, entry)
        return state.takeOutputs()
    }

    override fun suspended(nowMs: Long, id: RequestId): List<EntryOutput> {
        val entry = state.requests.find(id) ?: return emptyList()
        if (entry.phase != RequestPhase.RUNNING) return emptyList()
        entry.phase = RequestPhase.SUSPENDED
        entry.preempting = false
        entry.wasSuspended = true
        slots.release(nowMs, entry)
        suspendedRequests.register(nowMs, entry)
        return state.takeOutputs()
    }

    override fun giveUp(nowMs: Long, id: RequestId): List<EntryOutput>? {
        val entry = state.requests.find(id) ?: return null
        if (entry.phase != RequestPhase.WAITING) return null
        state.requests.drop(entry)
        placement.withdraw(entry)
        return state.takeOutputs()
    }

    override fun receive(nowMs: Long, from: HostRef, message: SlotMessage): List<EntryOutput> {
        when (message) {
            is SlotMessage.Grant -> slots.granted(nowMs, from, message)
            is SlotMessage.Recall -> slots.recalled(nowMs, from, message)
            is SlotMessage.Preempt -> slots.preempt(nowMs, message)
            is SlotMessage.ShedVerdict -> loadShedder.receive(nowMs, message)
            is SlotMessage.Digest -> digest(nowMs, message)
            is SlotMessage.Ask,
            is SlotMessage.AskBlock,
            is SlotMessage.Withdraw,
            is SlotMessage.Return,
            is SlotMessage.Renew,
            is SlotMessage.ShedCheck -> Unit
        }
        return state.takeOutputs()
    }

    private fun digest(nowMs: Long, message: SlotMessage.Digest) {
        leaseRenewer.confirmed(nowMs, message)
        if (message.renewedAtMs == null) placement.onNoFreeSlot(nowMs, message.server)
    }

    override fun updateFleet(nowMs: Long, fleet: Fleet): List<EntryOutput> {
        val before = state.fleet
        state.changeFleet(fleet)
        leaseRenewer.fleetChanged(nowMs, before)
        slots.fleetChanged(nowMs)
        state.requests.waiting().filter {
            state.servers.ofPool(it.request.pool).isEmpty()
        }.forEach {
            state.reject(it, noBackendServer())
            placement.withdraw(it)
        }
        return state.takeOutputs()
    }

    override fun cacheChanged(server: BackendServerId, prefixHash: Long, stored: Boolean) {
        state.prefixes.update(server, prefixHash, stored)
    }

    override fun tick(nowMs: Long): List<EntryOutput> {
        slots.tick(nowMs)
        leaseRenewer.tick(nowMs)
        suspendedRequests.tick(nowMs)
        placement.tick(nowMs)
        loadShedder.tick(nowMs)
        state.requests.forgetEnded(nowMs)
        return state.takeOutputs()
    }

    override fun inProgress(): Int = state.requests.size

    override fun rejectWaiting(nowMs: Long, failure: Failure): List<EntryOutput> {
        state.requests.waiting().forEach {
            state.reject(it, failure)
            placement.withdraw(it)
        }
        return state.takeOutputs()
    }

    private fun noBackendServer(): Failure = Failure(
        code = ResultCode.NO_BACKEND_SERVER,
        detail = "the pool has no backend server that accepts requests",
        retryAfterMs = RETRY_AFTER_MS
    )

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
