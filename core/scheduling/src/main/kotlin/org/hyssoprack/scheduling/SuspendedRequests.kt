package org.hyssoprack.scheduling

/** Registers suspended requests with the owners of the servers that hold their state. */
internal class SuspendedRequests(private val state: EntryState) {
    fun ask(nowMs: Long, entry: EntryRequest) {
        val server = entry.server ?: return
        entry.nextAskMs = nowMs + state.settings.askRepeatMs
        val ask = SlotMessage.Ask(
            server = server,
            tier = entry.request.tier,
            account = entry.request.account,
            share = entry.request.share,
            long = entry.kind.long,
            count = 1,
            urgent = 1,
            slackMs = entry.request.deadlineAtMs - nowMs,
            waitedMs = nowMs - entry.request.arrivedAtMs,
            sentAtMs = nowMs,
            resuming = entry.id
        )
        state.sendToOwner(server, ask)
    }

    fun withdraw(entry: EntryRequest) {
        val server = entry.server ?: return
        val withdraw = SlotMessage.Withdraw(
            server = server,
            tier = entry.request.tier,
            account = entry.request.account,
            long = entry.kind.long,
            resuming = entry.id
        )
        state.sendToOwner(server, withdraw)
    }

    /** Cancels a suspended request that can't be resumed in time. */
    private fun cancel(entry: EntryRequest) {
        val server = entry.server ?: return
        if (entry.preempting) return
        entry.preempting = true
        withdraw(entry)
        state.add(EntryOutput.Preempt(entry.id, server, suspend = false))
    }

    fun tick(nowMs: Long) {
        for (entry in state.requests.suspended()) {
            val isGone = entry.server?.let { state.servers.find(it) } == null
            if (isGone || nowMs >= entry.request.deadlineAtMs) cancel(entry)
            if (!entry.preempting && nowMs >= entry.nextAskMs) ask(nowMs, entry)
        }
    }
}
