package org.hyssoprack.scheduling

import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/**
 * Requests preemption for requests that wait for too long, and sheds those that get no slot in
 * time. A request is shed only while valid verdicts of all owners in its pool state that no lower
 * tier holds a slot that the request could use.
 */
internal class LoadShedder(private val state: EntryState, private val placement: RequestPlacement) {
    private val settings = state.settings
    private val rounds = ShedRounds(settings)

    /** Marks [entry] to be shed with [cause], and sheds it as soon as that is allowed. */
    fun begin(nowMs: Long, entry: EntryRequest, cause: ResultCode) {
        if (entry.shedCause != null) return
        entry.shedCause = cause
        entry.shedSinceMs = nowMs
        check(nowMs, entry.kind, binding = true)
        shedIfAllowed(nowMs, entry)
    }

    fun receive(nowMs: Long, verdict: SlotMessage.ShedVerdict) {
        val server = state.servers.find(verdict.server) ?: return
        val kind = SlotKind(server.pool, verdict.tier, verdict.long)
        rounds.receive(kind, verdict)
        val waiting = state.requests.waiting(kind)
        waiting.forEach { shedIfAllowed(nowMs, it) }
        if (verdict.lowerTierSlots == 0 || server.leaving) return
        val expecting = waiting.count { it.urgentServer == server.id && nowMs < it.urgentUntilMs }
        waiting.filter { isUrgent(nowMs, it, server) && nowMs >= it.urgentUntilMs }
            .take((verdict.lowerTierSlots - expecting).coerceAtLeast(0))
            .forEach { placement.registerUrgent(nowMs, it, server) }
    }

    fun tick(nowMs: Long) {
        state.requests.kinds.toList().forEach { tickKind(nowMs, it) }
        rounds.retain(state.requests.kinds)
    }

    private fun tickKind(nowMs: Long, kind: SlotKind) {
        val waiting = state.requests.waiting(kind)
        val mayShedSoon = waiting.any {
            it.shedCause != null || nowMs >= it.latestDispatchAtMs - settings.shedLeadMs
        }
        if (mayShedSoon || waiting.any { isUrgent(nowMs, it) }) check(nowMs, kind, mayShedSoon)
        waiting.forEach {
            if (nowMs >= it.latestDispatchAtMs) begin(nowMs, it, ResultCode.DEADLINE_UNREACHABLE)
            shedIfAllowed(nowMs, it)
        }
    }

    private fun isUrgent(nowMs: Long, entry: EntryRequest): Boolean =
        isUrgent(nowMs, entry, waitFactor = 1)

    // On a server that cannot suspend, a preempted request is cancelled and its prefill is lost, so
    // preemption waits for longer there. Most requests end on their own within that time.
    private fun isUrgent(nowMs: Long, entry: EntryRequest, server: FleetServer): Boolean =
        isUrgent(nowMs, entry, waitFactor = if (server.canSuspend) 1 else CANCEL_WAIT_FACTOR)

    private fun isUrgent(nowMs: Long, entry: EntryRequest, waitFactor: Int): Boolean {
        if (nowMs >= entry.request.deadlineAtMs) return false
        if (entry.shedCause != null) return true
        val pool = state.servers.pool(entry.request.pool) ?: return false
        val isLate = nowMs >= entry.latestDispatchAtMs - settings.shedLeadMs
        return isLate || nowMs - entry.request.arrivedAtMs >= pool.preemptAfterMs * waitFactor
    }

    private fun check(nowMs: Long, kind: SlotKind, binding: Boolean) {
        if (state.servers.isLowest(kind.tier)) return
        val servers = state.servers.ofPool(kind.pool)
        rounds.checks(nowMs, kind, servers, binding).forEach { state.add(it) }
    }

    private fun shedIfAllowed(nowMs: Long, entry: EntryRequest) {
        val cause = entry.shedCause ?: return
        if (entry.phase != RequestPhase.WAITING) return
        val deadlineAtMs = entry.request.deadlineAtMs
        val code = if (nowMs >= deadlineAtMs) ResultCode.DEADLINE_PASSED_WAITING else cause
        if (isAllowed(nowMs, entry.kind)) return end(entry, failure(entry, code))
        val lastMs = maxOf(deadlineAtMs, entry.shedSinceMs + settings.shedLeadMs)
        if (nowMs >= lastMs) end(entry, unreachable())
    }

    private fun isAllowed(nowMs: Long, kind: SlotKind): Boolean {
        if (state.servers.isLowest(kind.tier)) return true
        return rounds.allowShedding(nowMs, kind, state.servers.ofPool(kind.pool))
    }

    private fun end(entry: EntryRequest, failure: Failure) {
        if (state.requests.find(entry.id) !== entry) return
        state.reject(entry, failure)
        placement.withdraw(entry)
    }

    private fun failure(entry: EntryRequest, code: ResultCode): Failure = Failure(
        code = code,
        detail = code.meaning,
        retryAfterMs = state.retryAfterMs(entry)
    )

    private fun unreachable(): Failure = Failure(
        code = ResultCode.HOST_UNREACHABLE,
        detail = "the owner of a backend server did not answer or free a slot before the deadline",
        retryAfterMs = settings.leaseTermMs
    )

    private companion object {
        /** Multiple of the pool's `preemptAfterMs` on servers that cannot suspend. */
        const val CANCEL_WAIT_FACTOR = 5
    }
}
