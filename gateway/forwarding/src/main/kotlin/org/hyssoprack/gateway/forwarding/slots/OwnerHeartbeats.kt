package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/**
 * Sends the slot owner's [SlotMessage.OwnerClaim] to the hosts that use it and have received nothing
 * else from it for a short time, so that they can tell a lost owner from one without work for them.
 * An owner that most hosts use sends it to the others too, so that they use it as well.
 *
 * @param hosts the hosts that may be serving, this one included.
 */
internal class OwnerHeartbeats(
    private val self: HostRef,
    private val hosts: () -> Set<HostId>,
    private val clock: Clock,
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val sentMs = HashMap<HostId, Long>()
    private var lastClaim: SlotMessage.OwnerClaim? = null

    /** Records a message of the owner to [host]. */
    fun sent(host: HostId) {
        sentMs[host] = clock.nowMs()
    }

    /** Sends what is due to the [reporting] hosts and, with a [claim], to all. */
    fun tick(reporting: Set<HostId>, claim: SlotMessage.OwnerClaim?) {
        val nowMs = clock.nowMs()
        val isNew = claim != lastClaim
        lastClaim = claim
        val message = claim ?: SlotMessage.OwnerClaim(self, OwnerChoice.NO_TERM)
        val receivers = if (claim == null) reporting else reporting + hosts()
        sentMs.keys.retainAll(receivers)
        for (host in receivers) {
            val isDue = nowMs - (sentMs[host] ?: (Long.MIN_VALUE / 2)) >= INTERVAL_MS
            if (host != self.host && (isNew || isDue)) send(host, message)
        }
    }

    private companion object {
        // With the time between two ticks, well below the silence after which hosts act alone.
        const val INTERVAL_MS = 400L
    }
}
