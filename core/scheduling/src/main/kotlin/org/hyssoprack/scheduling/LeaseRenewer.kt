package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/**
 * Renews the leases of an entry host and sends its measurements to the owners. Also sends renewals
 * without a lease to the owners of recently compared servers, in order to get their digests.
 */
internal class LeaseRenewer(private val state: EntryState) {
    private val settings = state.settings
    private val sentAtMs = HashMap<BackendServerId, Long>()
    private var nextMs = 0L

    fun tick(nowMs: Long) {
        if (nowMs < nextMs) return
        nextMs = nowMs + settings.renewIntervalMs
        state.leases.servers.toList().forEach { renew(nowMs, it) }
        state.recentCandidates.current(nowMs)
            .filter { isOutdated(nowMs, it) }
            .forEach { renew(nowMs, it) }
        state.blockDemand.drainBlockRequests().forEach { requestBlock(nowMs, it) }
    }

    private fun isOutdated(nowMs: Long, server: BackendServerId): Boolean {
        val lastMs = sentAtMs[server] ?: return true
        return nowMs - lastMs >= settings.digestIntervalMs
    }

    private fun requestBlock(nowMs: Long, block: BlockRequest) {
        val message = SlotMessage.AskBlock(
            server = block.server,
            tier = block.kind.tier,
            count = minOf(block.count, settings.blockLimit),
            sentAtMs = nowMs
        )
        state.sendToOwner(block.server, message)
    }

    /** Extends the leases that an owner's answer to a renewal confirms, and stores its digest. */
    fun confirmed(nowMs: Long, message: SlotMessage.Digest) {
        message.renewedAtMs?.let { state.leases.confirm(message.server, it) }
        state.speeds.digest(nowMs, message.server, message.state)
    }

    /** Sends renewals to the new owners of servers, so that they count the slots that are lent. */
    fun fleetChanged(nowMs: Long, before: Fleet) {
        sentAtMs.keys.retainAll(state.fleet.servers.keys)
        state.leases.servers.toList().filter {
            before.servers[it]?.owner != state.fleet.servers[it]?.owner
        }.forEach { renew(nowMs, it) }
    }

    private fun renew(nowMs: Long, server: BackendServerId) {
        sentAtMs[server] = nowMs
        val renew = SlotMessage.Renew(
            server = server,
            leases = state.leases.of(server).map { it.toHeldLease() },
            sentAtMs = nowMs,
            sample = state.speeds.takeSample(server)
        )
        state.sendToOwner(server, renew)
    }
}
