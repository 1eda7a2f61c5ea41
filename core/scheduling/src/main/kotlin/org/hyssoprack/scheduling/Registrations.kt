package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/**
 * Tells owners how many requests wait for their servers. Requests of one account and kind share a
 * registration, so that a long queue costs no more messages than a short one.
 */
internal class Registrations(private val state: EntryState) {
    private val settings = state.settings
    private val places = LinkedHashMap<RequestGroupKey, RequestGroup>()

    /** Registers [entry] for [server]. */
    fun add(nowMs: Long, entry: EntryRequest, server: FleetServer) {
        if (!entry.asked.add(server.id)) return
        val place = place(entry, server.id)
        val known = places.getOrPut(place) { RequestGroup() }
        known.waiting.add(entry)
        if (known.sentCount < ENOUGH_COUNT) send(nowMs, place, known)
    }

    /** Registers [entry] and has its owner preempt a lower tier for it. */
    fun addUrgent(nowMs: Long, entry: EntryRequest, server: FleetServer) {
        entry.asked.add(server.id)
        val place = place(entry, server.id)
        val known = places.getOrPut(place) { RequestGroup() }
        known.waiting.add(entry)
        send(nowMs, place, known)
    }

    /** Removes a request that no longer waits. */
    fun remove(entry: EntryRequest) {
        entry.asked.forEach { remove(entry, it) }
        entry.asked.clear()
    }

    private fun remove(entry: EntryRequest, server: BackendServerId) {
        val place = place(entry, server)
        val known = places[place] ?: return
        known.waiting.remove(entry)
        if (known.waiting.isNotEmpty()) return
        places.remove(place)
        if (known.sentCount > 0) state.sendToOwner(server, withdraw(place))
    }

    /** Notes that the owner granted a slot for [place]. */
    fun granted(nowMs: Long, place: RequestGroupKey) {
        val known = places[place] ?: return
        known.sentCount--
        if (known.sentCount <= 0 && known.waiting.size > 1) send(nowMs, place, known)
    }

    /** The requests of [place]. */
    fun waitingAt(place: RequestGroupKey): Collection<EntryRequest> =
        places[place]?.waiting.orEmpty()

    /** Requests that wait for [server]. */
    fun waitingFor(server: BackendServerId): List<EntryRequest> =
        places.filterKeys { it.server == server }.values.flatMap { it.waiting }

    fun tick(nowMs: Long) {
        places.forEach { (place, known) ->
            if (nowMs - known.sentAtMs >= settings.askRepeatMs) send(nowMs, place, known)
        }
    }

    private fun send(nowMs: Long, place: RequestGroupKey, known: RequestGroup) {
        known.sentCount = known.waiting.size
        known.sentAtMs = nowMs
        state.sendToOwner(place.server, ask(nowMs, place, known))
    }

    private fun ask(nowMs: Long, place: RequestGroupKey, known: RequestGroup): SlotMessage.Ask {
        val first = known.waiting.first()
        return SlotMessage.Ask(
            server = place.server,
            tier = place.kind.tier,
            account = place.account,
            share = first.request.share,
            long = place.kind.long,
            count = known.waiting.size,
            urgent = known.waiting.count { it.isUrgentAt(nowMs, place.server) },
            slackMs = known.waiting.minOf { it.latestDispatchAtMs } - nowMs,
            waitedMs = nowMs - first.request.arrivedAtMs,
            sentAtMs = nowMs
        )
    }

    private fun withdraw(place: RequestGroupKey): SlotMessage.Withdraw = SlotMessage.Withdraw(
        server = place.server,
        tier = place.kind.tier,
        account = place.account,
        long = place.kind.long
    )

    private fun place(entry: EntryRequest, server: BackendServerId): RequestGroupKey =
        RequestGroupKey(server = server, kind = entry.kind, account = entry.request.account)

    private companion object {
        const val ENOUGH_COUNT = 4
    }
}
