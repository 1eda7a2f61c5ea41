package org.hyssoprack.scheduling

import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/**
 * Ends waiting requests that get no slot in time. A request is shed only while every owner of its
 * pool vouches that no lower tier holds a slot that the request could use.
 */
internal class Shedding(private val state: EntryState, private val asking: Asking) {
    private val settings = state.settings
    private val rounds = HashMap<SlotKind, ShedRound>()

    /** Decides to shed [entry] for [cause] as soon as that is allowed. */
    fun begin(nowMs: Long, entry: EntryRequest, cause: ResultCode) {
        if (entry.shedCause != null) return
        entry.shedCause = cause
        entry.shedSinceMs = nowMs
        check(nowMs, entry)
    }

    fun receive(nowMs: Long, message: SlotMessage.ShedVerdict) {
        val request = state.requests.find(message.requestId)
        val round = request?.let { rounds[it.kind] } ?: return
        round.receive(message)
        state.requests.waiting().filter {
            it.kind == request.kind
        }.forEach { shedIfAllowed(nowMs, it) }
    }

    fun tick(nowMs: Long) {
        for (entry in state.requests.waiting()) {
            if (nowMs >= entry.latestDispatchAtMs - settings.shedLeadMs) check(nowMs, entry)
            if (nowMs >= entry.latestDispatchAtMs) {
                begin(nowMs, entry, ResultCode.DEADLINE_UNREACHABLE)
            }
            shedIfAllowed(nowMs, entry)
        }
        state.requests.suspended().filter { nowMs >= it.request.deadlineAtMs }.forEach {
            cancelSuspended(it)
        }
        rounds.keys.retainAll(state.requests.kinds)
    }

    private fun check(nowMs: Long, entry: EntryRequest) {
        if (state.servers.isLowest(entry.request.tier)) return
        val round = rounds.getOrPut(entry.kind) { ShedRound(entry.kind, settings) }
        val servers = state.servers.ofPool(entry.request.pool)
        round.checks(nowMs, servers, entry.id).forEach { state.add(it) }
    }

    private fun shedIfAllowed(nowMs: Long, entry: EntryRequest) {
        val cause = entry.shedCause ?: return
        val deadlineAtMs = entry.request.deadlineAtMs
        val code = if (nowMs >= deadlineAtMs) ResultCode.DEADLINE_PASSED_WAITING else cause
        if (isAllowed(nowMs, entry)) return end(entry, failure(entry, code))
        val lastMs = maxOf(deadlineAtMs, entry.shedSinceMs + settings.shedLeadMs)
        if (nowMs >= lastMs) end(entry, unreachable())
    }

    private fun isAllowed(nowMs: Long, entry: EntryRequest): Boolean {
        if (state.servers.isLowest(entry.request.tier)) return true
        val round = rounds[entry.kind] ?: return false
        return round.allowsShedding(nowMs, state.servers.ofPool(entry.request.pool))
    }

    private fun end(entry: EntryRequest, failure: Failure) {
        state.reject(entry, failure)
        asking.withdraw(entry)
    }

    private fun failure(entry: EntryRequest, code: ResultCode): Failure = Failure(
        code = code,
        detail = code.meaning,
        retryAfterMs = RETRY_AFTER_MS
    )

    private fun unreachable(): Failure = Failure(
        code = ResultCode.HOST_UNREACHABLE,
        detail = "the owner of a backend server did not answer or make room before the deadline",
        retryAfterMs = RETRY_AFTER_MS
    )

    private fun cancelSuspended(entry: EntryRequest) {
        val server = entry.server ?: return
        if (entry.preempting) return
        entry.preempting = true
        asking.withdraw(entry)
        state.add(EntryOutput.Preempt(entry.id, server, suspend = false))
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
