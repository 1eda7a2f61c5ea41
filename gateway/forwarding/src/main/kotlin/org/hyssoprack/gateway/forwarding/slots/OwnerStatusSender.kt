package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.gateway.forwarding.ServerPools

/** Sends the slot owner's [SlotMessage.OwnerStatus] to the hosts that report to it. */
internal class OwnerStatusSender(
    private val pools: ServerPools,
    private val handover: SharingHandover,
    private val reportingHosts: () -> Set<HostId>,
    private val clock: Clock,
    private val send: (HostId, SlotMessage) -> Unit
) {
    private var statusMs = Long.MIN_VALUE / 2
    private var sentShares: Map<ClientAccount, Double> = emptyMap()
    private var sentLimitChanges = 0
    private var sentPartChanges = 0

    /** Whether the interval between two messages has passed. */
    val isDue: Boolean get() = clock.nowMs() - statusMs >= STATUS_MS

    /** Whether what is known of parts of prompts has changed since the last message. */
    val isPartChanged: Boolean get() = pools.parts.registry.changes != sentPartChanges

    /**
     * Sends the status if it is due, if a rate limit or what is known of parts of prompts has
     * changed, or if the usage of an account has grown by [STATUS_GROWTH].
     */
    fun sendIfDue(usedShares: Map<ClientAccount, Double>, claim: SlotMessage.OwnerClaim?) {
        val hasGrown = usedShares.any { (name, share) ->
            share - (sentShares[name] ?: 0.0) >= STATUS_GROWTH
        }
        val isLimitChanged = pools.limits.changes != sentLimitChanges
        if (isDue || hasGrown || isLimitChanged || isPartChanged) send(usedShares, claim)
    }

    private fun send(usedShares: Map<ClientAccount, Double>, claim: SlotMessage.OwnerClaim?) {
        sentShares = usedShares
        statusMs = clock.nowMs()
        sentLimitChanges = pools.limits.changes
        sentPartChanges = pools.parts.registry.changes
        val hosts = reportingHosts()
        if (hosts.isEmpty()) return
        val status = SlotMessage.OwnerStatus(
            usedShares = usedShares,
            loads = pools.loads(),
            leaving = pools.leaving,
            limits = pools.limits.all(),
            parts = pools.parts.registry.records(),
            claim = claim
        )
        handover.statuses(status, hosts).forEach { (host, message) -> send(host, message) }
    }

    private companion object {
        // Several status messages fit in the time for which a host uses one.
        const val STATUS_MS = 1_000L

        // Bounds the usage since the last status message that partitioned hosts still count as
        // available.
        const val STATUS_GROWTH = 0.05
    }
}
