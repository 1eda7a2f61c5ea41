package org.hyssoprack.serving.queue

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.placement.PlacementRequest
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.sharing.ReturnKey

/**
 * A request that waits for a slot.
 *
 * @property rank 0 is the most urgent.
 * @property arrivedMs monotonic time at which the caller's request was read.
 * @property targetMs time from arrival within which the response counts as on time.
 * @property giveUpMs monotonic time after which the waiting request is rejected.
 * @property patienceMs time from arrival after which the caller disconnects unless it received a
 *   first event.
 * @property endMs monotonic time by which the complete response is due.
 * @property avoid servers that have already failed the request; used only if there is no other.
 * @property excludedServers servers that the host sending the request must not use.
 * @property domain failure domain of the host that sends the request; null for this host's.
 * @property isStarted whether a server has begun the stream that answers it.
 * @property suspectParts parts of the request that may crash servers, in order.
 * @property isGrantedByOwner whether this host grants the slot as the slot owner.
 * @property isRelayedHere whether this host sends the request and relays the response.
 * @property account account of the caller, with which the request shares the capacity.
 * @property route route of the request; null if unknown.
 */
class QueuedRequest(
    val service: ServiceId,
    val work: WorkEstimate,
    val rank: Int,
    val arrivedMs: Long,
    val targetMs: Long,
    val giveUpMs: Long,
    val endMs: Long,
    val patienceMs: Long = endMs - arrivedMs,
    val avoid: Set<BackendServerId> = emptySet(),
    val excludedServers: Set<BackendServerId> = emptySet(),
    val domain: FailureDomain? = null,
    val isStarted: Boolean = false,
    val suspectParts: List<PromptPartId> = emptyList(),
    val isRelayedHere: Boolean = true,
    val account: ClientAccount? = null,
    val route: RouteName? = null,
    val isGrantedByOwner: Boolean = false
) {
    /** What the request has in common with the same caller's next one after a refusal. */
    val returnKey: ReturnKey get() = ReturnKey(account = account, route = route, rank = rank)

    /** Whether no server has had the request, so that its caller may have just sent it. */
    val isFirstAttempt: Boolean get() = !isStarted && avoid.isEmpty()

    /** Returns whether the response can still be on time. */
    fun canBeOnTime(nowMs: Long): Boolean = onTimeWaitMs(nowMs) > 0

    /**
     * Returns the time for which the request can wait and still be on time, in milliseconds; 0 or
     * negative if it cannot.
     */
    fun onTimeWaitMs(nowMs: Long): Double = arrivedMs + targetMs * WAIT_SHARE - nowMs

    /** Returns the requirements for choosing a server at [nowMs]. */
    fun placement(nowMs: Long) = PlacementRequest(
        work = work,
        endLeftMs = endMs - nowMs,
        targetLeftMs = arrivedMs + targetMs - nowMs,
        patienceLeftMs = arrivedMs + patienceMs - nowMs,
        domain = domain,
        excludedServers = excludedServers
    )

    private companion object {
        // Share of the target that may be spent waiting; the rest is for the server's own time to
        // the first event.
        const val WAIT_SHARE = 0.8
    }
}
