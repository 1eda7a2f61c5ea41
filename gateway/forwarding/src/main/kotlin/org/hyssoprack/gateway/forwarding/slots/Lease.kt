package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.RouteName
import org.hyssoprack.gateway.forwarding.rollout.GrantSample
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * One host's request at the slot owner, from the request to the release of the slot.
 *
 * @property endMs monotonic time after which the request cannot be in progress.
 * @property suspectParts parts of the request that may crash servers.
 * @property route route of the request; null if not known.
 * @param isRelayedHere whether this host relays the response.
 */
internal class Lease(
    val number: Long,
    val work: WorkEstimate,
    val endMs: Long,
    private val isRelayedHere: Boolean,
    val account: ClientAccount? = null,
    val quota: Double = 0.0,
    val suspectParts: List<PromptPartId> = emptyList(),
    val route: RouteName? = null
) {
    /** Collects the result while versions of the service are compared. */
    var sample: GrantSample? = null

    /** Whether the request is a trial of a blocked part. */
    var isTrial = false

    /** The queued request; null unless it waits for a slot. */
    var waiting: QueuedRequest? = null

    /** Server whose slot it holds; null while it waits and after the release. */
    var state: ServerState? = null
        private set

    /** Monotonic time of the grant. */
    var grantedMs = 0L
        private set

    /** Prompt tokens that the server had to read before the first event, as of the grant. */
    var tokensAhead = 0
        private set

    /** Work with all prompt tokens that the server had to read. */
    val compared: WorkEstimate get() = work.copy(promptTokens = tokensAhead)

    var isPromptRead = false
        private set

    /** Whether another host granted the slot. */
    var isAdopted = false
        private set

    fun granted(state: ServerState, nowMs: Long) {
        waiting = null
        this.state = state
        grantedMs = nowMs
        tokensAhead = state.load.promptTokens
    }

    /** Takes over a request that was granted its slot by another host. */
    fun adopted(state: ServerState, nowMs: Long, isPromptRead: Boolean) {
        state.recordAdopted(work)
        granted(state, nowMs)
        isAdopted = true
        if (isPromptRead) recordPromptRead()
    }

    /** Records the first event. Returns false if it was recorded before. */
    fun recordPromptRead(): Boolean {
        if (isPromptRead) return false
        isPromptRead = true
        state?.recordPromptRead(work)
        return true
    }

    /** Releases the slot, which removes its work from the load of the server. */
    fun release() {
        sample?.recordRelease()
        state?.recordEnd(work, isPromptRead, isRelayedHere)
        state = null
    }
}
