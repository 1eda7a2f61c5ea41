package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Keeps the leases of an entry host alive and reports what was measured. */
internal class Renewals(private val state: EntryState) {
    private var nextMs = 0L

    fun tick(nowMs: Long) {
        if (nowMs < nextMs) return
        nextMs = nowMs + state.settings.renewIntervalMs
        state.leases.servers.toList().forEach { renew(nowMs, it) }
    }

    /** Takes an owner's answer to a renewal. */
    fun confirmed(nowMs: Long, message: SlotMessage.Digest) {
        state.leases.confirm(message.server, message.renewedAtMs)
        state.speeds.digest(nowMs, message.server, message.state)
    }

    /** Tells new owners at once what is lent on their servers. */
    fun ownersChanged(nowMs: Long, before: Fleet) {
        state.leases.servers.toList().filter {
            before.servers[it]?.owner != state.fleet.servers[it]?.owner
        }.forEach { renew(nowMs, it) }
    }

    private fun renew(nowMs: Long, server: BackendServerId) {
        val renew = SlotMessage.Renew(
            server = server,
            leases = state.leases.of(server).map { it.toHeldLease() },
            sentAtMs = nowMs,
            sample = state.speeds.takeSample(server)
        )
        state.sendToOwner(server, renew)
    }
}
