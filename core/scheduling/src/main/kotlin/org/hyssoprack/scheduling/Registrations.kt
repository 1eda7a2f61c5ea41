package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/**
 * Registers waiting requests with the owners of servers. Requests of one client account and kind
 * share a registration, so that a long queue takes no more messages than a short one.
 */
internal class Registrations(private val state: EntryState) {
    private val settings = state.settings
    private val groups = LinkedHashMap<RequestGroupKey, RequestGroup>()

    /** Registers [entry] for [server]. */
    fun add(nowMs: Long, entry: EntryRequest, server: FleetServer) {
        if (!entry.registeredServers.add(server.id)) return
        val groupKey = groupKey(entry, server.id)
        val group = groups.getOrPut(groupKey) { RequestGroup() }
        group.waiting.add(entry)
        if (group.sentCount < REANNOUNCE_BELOW) send(nowMs, groupKey, group)
    }

    /** Registers [entry] for [server] and requests that its owner preempts a lower tier. */
    fun addUrgent(nowMs: Long, entry: EntryRequest, server: FleetServer) {
        entry.registeredServers.add(server.id)
        val groupKey = groupKey(entry, server.id)
        val group = groups.getOrPut(groupKey) { RequestGroup() }
        group.waiting.add(entry)
        send(nowMs, groupKey, group)
    }

    /** Removes [entry], which no longer waits, from all its registrations. */
    fun remove(entry: EntryRequest) {
        entry.registeredServers.forEach { remove(entry, it) }
        entry.registeredServers.clear()
    }

    private fun remove(entry: EntryRequest, server: BackendServerId) {
        val groupKey = groupKey(entry, server)
        val group = groups[groupKey] ?: return
        group.waiting.remove(entry)
        if (group.waiting.isNotEmpty()) return
        groups.remove(groupKey)
        if (group.sentCount > 0) state.sendToOwner(server, withdraw(groupKey))
    }

    /** Counts a slot that the owner granted for [groupKey]. */
    fun granted(nowMs: Long, groupKey: RequestGroupKey) {
        val group = groups[groupKey] ?: return
        group.sentCount--
        if (group.sentCount <= 0 && group.waiting.size > 1) send(nowMs, groupKey, group)
    }

    /** Returns the waiting requests of [groupKey]. */
    fun waitingIn(groupKey: RequestGroupKey): Collection<EntryRequest> =
        groups[groupKey]?.waiting.orEmpty()

    /** Returns the requests that are registered for [server]. */
    fun waitingFor(server: BackendServerId): List<EntryRequest> =
        groups.filterKeys { it.server == server }.values.flatMap { it.waiting }

    fun tick(nowMs: Long) {
        groups.forEach { (groupKey, group) ->
            if (nowMs - group.sentAtMs >= settings.registrationRepeatMs) {
                send(nowMs, groupKey, group)
            }
        }
    }

    private fun send(nowMs: Long, groupKey: RequestGroupKey, group: RequestGroup) {
        group.sentCount = group.waiting.size
        group.sentAtMs = nowMs
        state.sendToOwner(groupKey.server, ask(nowMs, groupKey, group))
    }

    private fun ask(nowMs: Long, groupKey: RequestGroupKey, group: RequestGroup): SlotMessage.Ask {
        val first = group.waiting.first()
        return SlotMessage.Ask(
            server = groupKey.server,
            tier = groupKey.kind.tier,
            account = groupKey.account,
            share = first.request.share,
            long = groupKey.kind.long,
            count = group.waiting.size,
            urgent = group.waiting.count { it.isUrgentAt(nowMs, groupKey.server) },
            slackMs = group.waiting.minOf { it.latestDispatchAtMs } - nowMs,
            waitedMs = nowMs - first.request.arrivedAtMs,
            sentAtMs = nowMs
        )
    }

    private fun withdraw(groupKey: RequestGroupKey): SlotMessage.Withdraw = SlotMessage.Withdraw(
        server = groupKey.server,
        tier = groupKey.kind.tier,
        account = groupKey.account,
        long = groupKey.kind.long
    )

    private fun groupKey(entry: EntryRequest, server: BackendServerId): RequestGroupKey =
        RequestGroupKey(server = server, kind = entry.kind, account = entry.request.account)

    private companion object {
        const val REANNOUNCE_BELOW = 4
    }
}
