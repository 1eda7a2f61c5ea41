package org.hyssoprack.scheduling

/** Registers waiting requests with owners: first the best servers, then more and more of them. */
internal class Asking(private val state: EntryState) {
    private val settings = state.settings

    /** Asks the first servers of [ranked] for a new request. */
    fun ask(nowMs: Long, entry: EntryRequest, ranked: List<RankedServer>) {
        val widens = state.widens(entry)
        entry.width = if (widens) settings.firstOwners else 1
        entry.widenAtMs = if (widens) nowMs + settings.wideningDelayMs else Long.MAX_VALUE
        val enoughMs = ranked.first().costMs * SIMILAR_RATIO + SIMILAR_MS
        val similar = ranked.take(entry.width).filter { it.costMs <= enoughMs }
        askServers(nowMs, entry, similar.map { it.server })
    }

    /** Asks the owner of the server that holds the suspended request's state. */
    fun askToResume(nowMs: Long, entry: EntryRequest) {
        val server = entry.server?.let { state.servers.find(it) } ?: return
        askServers(nowMs, entry, listOf(server))
    }

    fun withdraw(entry: EntryRequest) {
        entry.asked.forEach { state.sendToOwner(it, SlotMessage.Withdraw(it, entry.id)) }
        entry.asked.clear()
    }

    /** Repeats and widens the asks that are due. */
    fun tick(nowMs: Long) {
        state.requests.waiting().filter { nowMs >= it.nextAskMs || nowMs >= it.widenAtMs }.forEach {
            repeat(nowMs, it)
        }
        state.requests.suspended().filter { nowMs >= it.nextAskMs }.forEach {
            askToResume(nowMs, it)
        }
    }

    private fun repeat(nowMs: Long, entry: EntryRequest) {
        if (nowMs >= entry.widenAtMs) widen(nowMs, entry)
        val known = entry.asked.mapNotNull { state.servers.find(it) }.filter { !it.leaving }
        if (known.isNotEmpty() && !state.widens(entry)) return askServers(nowMs, entry, known)
        val ranked = state.rank(nowMs, entry)
        if (ranked.isEmpty()) return
        entry.latestDispatchAtMs = state.latestDispatch(nowMs, entry, ranked.first().server)
        val chosen = ranked.take(entry.width).map { it.server }
        askServers(nowMs, entry, (chosen + known).distinct())
    }

    private fun widen(nowMs: Long, entry: EntryRequest) {
        entry.width = minOf(entry.width * 2, settings.candidateLimit)
        val done = entry.width == settings.candidateLimit
        entry.widenAtMs = if (done) Long.MAX_VALUE else nowMs + settings.wideningDelayMs
    }

    /** Asks [server] to preempt a lower tier for [entry]. */
    fun askUrgently(nowMs: Long, entry: EntryRequest, server: FleetServer) {
        entry.urgentServer = server.id
        entry.urgentUntilMs = nowMs + settings.askRepeatMs
        askOne(nowMs, entry, server)
    }

    private fun askServers(nowMs: Long, entry: EntryRequest, servers: List<FleetServer>) {
        entry.nextAskMs = nowMs + settings.askRepeatMs
        servers.forEach { askOne(nowMs, entry, it) }
    }

    private fun askOne(nowMs: Long, entry: EntryRequest, server: FleetServer) {
        entry.asked.add(server.id)
        state.send(server.owner, message(nowMs, entry, server))
    }

    private fun isUrgent(nowMs: Long, entry: EntryRequest, server: FleetServer): Boolean {
        if (entry.phase == RequestPhase.SUSPENDED) return true
        return entry.urgentServer == server.id && nowMs < entry.urgentUntilMs
    }

    private fun message(nowMs: Long, entry: EntryRequest, server: FleetServer): SlotMessage.Ask =
        SlotMessage.Ask(
            server = server.id,
            requestId = entry.id,
            tier = entry.request.tier,
            account = entry.request.account,
            share = entry.request.share,
            slackMs = entry.latestDispatchAtMs - nowMs,
            long = entry.kind.long,
            sentAtMs = nowMs,
            urgent = isUrgent(nowMs, entry, server),
            resuming = if (entry.phase == RequestPhase.SUSPENDED) entry.lastLease else null
        )

    private companion object {
        const val SIMILAR_RATIO = 1.25
        const val SIMILAR_MS = 10.0
    }
}
