package org.hyssoprack.gateway.forwarding.slots

import kotlinx.coroutines.CompletableDeferred
import org.hyssoprack.common.HostId

/**
 * An ask on its way.
 *
 * @property owner the host that was asked.
 */
internal class PendingRequest(val owner: HostId) {
    /** Completed by whatever the owner says first. */
    val firstReply = CompletableDeferred<Unit>()
    val answer = CompletableDeferred<SlotMessage>()

    /** Whether the answer was taken up, so that the owner need not be told. */
    var isUsed = false

    fun queued() {
        firstReply.complete(Unit)
    }

    fun answered(message: SlotMessage) {
        firstReply.complete(Unit)
        answer.complete(message)
    }
}
