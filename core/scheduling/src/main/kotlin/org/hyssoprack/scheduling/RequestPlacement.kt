package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Chooses the servers for which requests wait: the best first, then more and more of them. */
internal class RequestPlacement(
    private val state: EntryState,
    private val registrations: Registrations
) {
    private val settings = state.settings

    /** Registers a new request for the first servers of [ranked]. */
    fun ask(nowMs: Long, entry: EntryRequest, ranked: List<RankedServer>) {
        val widens = state.widens(entry)
        entry.width = if (widens) settings.firstOwners else 1
        entry.widenAtMs = if (widens) nowMs + settings.wideningDelayMs else Long.MAX_VALUE
        val enoughMs = ranked.first().costMs * SIMILAR_RATIO + SIMILAR_MS
        val similar = ranked.take(entry.width).filter { it.costMs <= enoughMs }
        similar.forEach { registrations.add(nowMs, entry, it.server) }
    }

    /** Asks [server] to preempt a lower tier for [entry]. */
    fun askUrgently(nowMs: Long, entry: EntryRequest, server: FleetServer) {
        entry.urgentServer = server.id
        entry.urgentUntilMs = nowMs + settings.messageRepeatMs
        registrations.addUrgent(nowMs, entry, server)
    }

    /** Removes a request that no longer waits. */
    fun withdraw(entry: EntryRequest) = registrations.remove(entry)

    /** Turns to more servers at once, since the owner of [server] has no slot now. */
    fun refused(nowMs: Long, server: BackendServerId) {
        registrations.waitingFor(server)
            .filter { !it.waitsEverywhere && state.widens(it) }
            .forEach { widen(nowMs, it) }
    }

    fun tick(nowMs: Long) {
        state.requests.waiting().filter { nowMs >= it.widenAtMs }.forEach { widen(nowMs, it) }
        registrations.tick(nowMs)
    }

    private fun widen(nowMs: Long, entry: EntryRequest) {
        entry.width = minOf(entry.width * 2, settings.candidateLimit)
        val ranked = state.rank(nowMs, entry)
        entry.waitsEverywhere = entry.width >= ranked.size
        val delayMs = if (entry.waitsEverywhere) settings.rankTermMs else settings.wideningDelayMs
        entry.widenAtMs = nowMs + delayMs
        if (ranked.isEmpty()) return
        entry.latestDispatchAtMs = state.latestDispatch(nowMs, entry, ranked.first().server)
        ranked.take(entry.width).forEach { registrations.add(nowMs, entry, it.server) }
    }

    private companion object {
        const val SIMILAR_RATIO = 1.25
        const val SIMILAR_MS = 10.0
    }
}
