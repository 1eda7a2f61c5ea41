package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/**
 * Chooses the servers whose owners a waiting request is registered with: the best-ranked ones
 * first, and twice as many each time the request has waited for
 * [SchedulingSettings.wideningDelayMs].
 */
internal class RequestPlacement(
    private val state: EntryState,
    private val registrations: Registrations
) {
    private val settings = state.settings

    /** Registers a new request for the first servers of [ranked]. */
    fun register(nowMs: Long, entry: EntryRequest, ranked: List<RankedServer>) {
        val canWiden = state.canWiden(entry)
        entry.serverLimit = if (canWiden) settings.initialServerCount else 1
        entry.nextWideningAtMs = if (canWiden) nowMs + settings.wideningDelayMs else Long.MAX_VALUE
        val enoughMs = ranked.first().costMs * SIMILAR_RATIO + SIMILAR_MS
        val similar = ranked.take(entry.serverLimit).filter { it.costMs <= enoughMs }
        similar.forEach { registrations.add(nowMs, entry, it.server) }
    }

    /** Registers [entry] with the owner of [server] and requests preemption of a lower tier. */
    fun registerUrgent(nowMs: Long, entry: EntryRequest, server: FleetServer) {
        entry.urgentServer = server.id
        entry.urgentUntilMs = nowMs + settings.messageRepeatMs
        registrations.addUrgent(nowMs, entry, server)
    }

    /** Withdraws all registrations of a request that no longer waits. */
    fun withdraw(entry: EntryRequest) = registrations.remove(entry)

    /** Registers requests that wait for [server] with more owners, as [server] has no free slot. */
    fun onNoFreeSlot(nowMs: Long, server: BackendServerId) {
        registrations.waitingFor(server)
            .filter { !it.isRegisteredEverywhere && state.canWiden(it) }
            .forEach { widen(nowMs, it) }
    }

    fun tick(nowMs: Long) {
        state.requests.waiting()
            .filter { nowMs >= it.nextWideningAtMs }
            .forEach { widen(nowMs, it) }
        registrations.tick(nowMs)
    }

    private fun widen(nowMs: Long, entry: EntryRequest) {
        entry.serverLimit = minOf(entry.serverLimit * 2, settings.candidateLimit)
        val ranked = state.rank(nowMs, entry)
        entry.isRegisteredEverywhere = entry.serverLimit >= ranked.size
        val delayMs = if (entry.isRegisteredEverywhere) {
            settings.rerankIntervalMs
        } else {
            settings.wideningDelayMs
        }
        entry.nextWideningAtMs = nowMs + delayMs
        if (ranked.isEmpty()) return
        entry.latestDispatchAtMs = state.latestDispatch(nowMs, entry, ranked.first().server)
        ranked.take(entry.serverLimit).forEach { registrations.add(nowMs, entry, it.server) }
    }

    private companion object {
        const val SIMILAR_RATIO = 1.25
        const val SIMILAR_MS = 10.0
    }
}
