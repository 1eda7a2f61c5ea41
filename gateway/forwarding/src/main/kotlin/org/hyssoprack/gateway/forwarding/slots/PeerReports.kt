package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.HostId
import org.hyssoprack.serving.limits.PartGate

/**
 * Tells the other hosts what they have to know of parts that crash servers, while no slot owner
 * counts the crashes of all hosts.
 *
 * @param peers the other hosts that may be serving.
 */
internal class PeerReports(
    private val self: HostId,
    private val parts: PartGate,
    private val peers: () -> List<HostId>,
    private val send: (HostId, SlotMessage) -> Unit
) {
    /** Sends what is new. [owner], the slot owner in this host's view, gets reports of its own. */
    fun send(owner: HostId?) {
        if (owner == self) return
        val report = parts.takePeerReport() ?: return
        val message = SlotMessage.Report(parts = report, isLast = true)
        peers().filter { it != owner }.take(MAX_PEERS).forEach { send(it, message) }
    }

    private companion object {
        // Bounds the messages of one crash in a large fleet without a slot owner.
        const val MAX_PEERS = 64
    }
}
