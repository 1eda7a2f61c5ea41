package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * One host's ask at the host that lends slots, from the ask to the slot's return.
 *
 * @property endMs monotonic time after which nothing of it can be in progress.
 * @param isRelayedHere whether this host sees the answer's bytes.
 */
internal class Lease(
    val number: Long,
    val work: WorkEstimate,
    val endMs: Long,
    private val isRelayedHere: Boolean,
    val account: ClientAccount? = null,
    val quota: Double = 0.0
) {
    /** Set while it waits for a slot. */
    var waiting: QueuedRequest? = null

    /** Server whose slot it has; null while it waits. */
    var state: ServerState? = null
        private set

    /** When it got the slot, on the monotonic clock. */
    var grantedMs = 0L
        private set

    /** Tokens that the server had to read up to the first event, when the slot was given. */
    var tokensAhead = 0
        private set

    var isPromptRead = false
        private set

    fun granted(state: ServerState, nowMs: Long) {
        waiting = null
        this.state = state
        grantedMs = nowMs
        tokensAhead = state.load.promptTokens
    }

    /** Takes over a request that got its slot from another host. */
    fun adopted(state: ServerState, nowMs: Long, isPromptRead: Boolean) {
        state.dispatched(work, isRelayedHere)
        granted(state, nowMs)
        if (isPromptRead) readPrompt()
    }

    /** The first event has come. Returns whether this is news. */
    fun readPrompt(): Boolean {
        if (isPromptRead) return false
        isPromptRead = true
        state?.promptRead(work)
        return true
    }

    /** Gives the slot back. */
    fun release() {
        state?.ended(work, isPromptRead, isRelayedHere)
        state = null
    }
}
