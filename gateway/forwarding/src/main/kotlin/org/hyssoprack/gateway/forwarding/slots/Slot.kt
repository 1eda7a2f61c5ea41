package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.HostId
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * A slot of a backend server that this host may use for one request.
 *
 * @property state this host's state of the server.
 * @property owner slot owner that granted the slot; null if this host allocated it itself.
 * @property isAppliedHere whether changes are applied to [state] directly; false if this host is
 *   the owner, which applies them.
 * @property isTrial whether the owner let the request through as a trial of a blocked part.
 * @param isCompared whether the owner compares versions of the service, which takes more of a result.
 * @param tokensAhead prompt tokens that the server has to read before the first event.
 * @param notifyOwner sends events of the slot to the slot owner.
 */
class Slot internal constructor(
    val number: Long,
    val request: QueuedRequest,
    val state: ServerState,
    val owner: HostId?,
    private val tokensAhead: Int,
    val isAppliedHere: Boolean,
    val isTrial: Boolean = false,
    private val isCompared: Boolean = false,
    private val notifyOwner: (Slot, SlotMessage) -> Unit
) {
    /** Whether the first event has arrived. */
    var isPromptRead = false
        private set

    /** Whether the slot has been released. */
    var isReleased = false
        private set

    /**
     * Records that the first event came [firstMs] after the request was sent, from a server that
     * has just reported [pacePercent].
     */
    fun recordFirstEvent(firstMs: Long, pacePercent: Int? = null) {
        isPromptRead = true
        if (isAppliedHere) {
            state.recordPromptRead(request.work)
            state.recordFirstEvent(tokens = tokensAhead, firstMs = firstMs)
        }
        notifyOwner(this, SlotMessage.PromptRead(number, firstMs, pacePercent))
    }

    /** Reports that the server has sent nothing for longer than expected. */
    fun reportStalled() = notifyOwner(this, SlotMessage.ServerStalled(number))

    /** Releases the slot with the [result] of its use; only the first call has an effect. */
    fun release(result: SlotResult) {
        if (isReleased) return
        isReleased = true
        if (isAppliedHere) {
            state.recordResult(result)
            state.recordEnd(request.work, isPromptRead)
        }
        val told = if (isCompared) result else result.copy(pauseMs = null)
        notifyOwner(this, SlotMessage.Ended(number, told))
    }
}
