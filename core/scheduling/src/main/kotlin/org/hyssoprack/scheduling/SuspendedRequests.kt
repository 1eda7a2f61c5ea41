package org.hyssoprack.scheduling

/** Registers suspended requests for a slot on the server that holds their state. */
internal class SuspendedRequests(private val state: EntryState) {
    fun register(nowMs: Long, entry: EntryRequest) {
        val server = entry.server ?: return
        entry.nextRegistrationAtMs = nowMs + state.settings.registrationRepeatMs
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

    /** Cancels [entry], whose deadline has passed or whose server is gone; does so only once. */
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
            if (!entry.preempting && nowMs >= entry.nextRegistrationAtMs) register(nowMs, entry)
        }
    }
}
