package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.HostId
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * A slot of a backend server that this host may use for one request.
 *
 * @property state what this host knows of the server.
 * @property owner host that lent the slot; null if this host took it by itself.
 * @property isAppliedHere whether changes go into [state] directly; not where this host is the owner.
 * @param tokensAhead tokens that the server has to read up to the first event.
 * @param tell sends what happens to the host that lends slots.
 */
class Slot internal constructor(
    val number: Long,
    val request: QueuedRequest,
    val state: ServerState,
    val owner: HostId?,
    private val tokensAhead: Int,
    val isAppliedHere: Boolean,
    private val tell: (Slot, SlotMessage) -> Unit
) {
    /** Whether the first event has come. */
    var isPromptRead = false
        private set

    /** Whether the slot has been given back. */
    var isOver = false
        private set

    /** The first event came [firstMs] after the request was sent. */
    fun promptRead(firstMs: Long) {
        isPromptRead = true
        if (isAppliedHere) {
            state.promptRead(request.work)
            state.speed.prompt(tokens = tokensAhead, firstMs = firstMs)
        }
        tell(this, SlotMessage.PromptRead(number, firstMs))
    }

    /** The server is silent for longer than it should be. */
    fun silent() = tell(this, SlotMessage.ServerStalled(number))

    /** Gives the slot back with what its use has shown; only the first call counts. */
    fun ended(result: SlotResult) {
        if (isOver) return
        isOver = true
        if (isAppliedHere) {
            state.ended(request.work, isPromptRead)
            state.learn(result)
        }
        tell(this, SlotMessage.Ended(number, result))
    }
}
