package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.eq

/**
 * Concludes that the slot owner is lost: this host and others that it asks have received nothing
 * from it for [OwnerContact.LOST_MS]. One host alone cannot tell a lost owner from a lost link, or
 * from its own overload.
 *
 * @param peers the other hosts that may be serving.
 * @param markLost called with an owner that is lost, so that another one is chosen.
 */
internal class OwnerLossDetector(
    private val contact: OwnerContact,
    private val peers: () -> List<HostId>,
    private val clock: Clock,
    private val log: EventLog,
    private val markLost: (HostId) -> Unit,
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val silentAt = HashSet<HostId>()
    private var asked = 0
    private var askedMs = Long.MIN_VALUE / 2
    private var offset = 0

    /** Asks other hosts about an owner that is silent here; called several times a second. */
    fun tick() {
        val owner = contact.owner ?: return
        val nowMs = clock.nowMs()
        if (contact.silentMs < OwnerContact.LOST_MS || nowMs - askedMs < CHECK_INTERVAL_MS) return
        askedMs = nowMs
        silentAt.clear()
        val others = peers().filter { it != owner }
        if (others.isEmpty()) {
            if (contact.silentMs >= 2 * OwnerContact.LOST_MS) lost(owner)
            return
        }
        // Other hosts each time, since those that were asked may be lost too.
        val next = List(minOf(others.size, MAX_ASKED)) { others[(offset + it) % others.size] }
        offset += next.size
        asked = next.size
        next.forEach { send(it, SlotMessage.OwnerCheck(owner)) }
    }

    /** Handles the reply of a host that was asked. */
    fun receive(from: HostRef, reply: SlotMessage.OwnerSilence) {
        val silentMs = reply.silentMs ?: return
        val isAsked = clock.nowMs() - askedMs < REPLY_MS && reply.owner == contact.owner
        if (!isAsked || contact.silentMs < OwnerContact.LOST_MS) return
        if (silentMs < CONFIRM_MS) {
            asked = Int.MAX_VALUE
            return
        }
        silentAt += from.host
        if (silentAt.size >= minOf(MIN_SILENT, asked)) lost(reply.owner)
    }

    private fun lost(owner: HostId) {
        log.event(
            "slot-owner-lost",
            "owner" eq owner,
            "silentMs" eq contact.silentMs,
            "confirmedBy" eq silentAt.size
        )
        silentAt.clear()
        markLost(owner)
    }

    private companion object {
        const val MAX_ASKED = 3
        const val MIN_SILENT = 2
        const val CHECK_INTERVAL_MS = 300L
        const val REPLY_MS = 1_000L

        // Hosts received the owner's last message at different times.
        const val CONFIRM_MS = 1_000L
    }
}
