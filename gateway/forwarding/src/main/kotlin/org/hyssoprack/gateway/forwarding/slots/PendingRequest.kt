package org.hyssoprack.gateway.forwarding.slots

import kotlinx.coroutines.CompletableDeferred
import org.hyssoprack.common.HostId

/**
 * A request for a slot that awaits a decision.
 *
 * @property owner the slot owner that it was sent to.
 */
internal class PendingRequest(val owner: HostId) {
    /** Completed by the owner's first reply, whatever it is. */
    val firstReply = CompletableDeferred<Unit>()
    val decision = CompletableDeferred<SlotMessage>()

    /** Slot that this host allocated itself, since the first reply was late. */
    var localSlot: Slot? = null

    /** Whether the reply was used; otherwise the request is cancelled at the owner. */
    var isDecisionUsed = false

    fun queued() {
        firstReply.complete(Unit)
    }

    fun decided(message: SlotMessage) {
        firstReply.complete(Unit)
        decision.complete(message)
    }
}
