package org.hyssoprack.serving.queue

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.placement.PlacementRequest
import org.hyssoprack.serving.placement.WorkEstimate

/**
 * A request that waits for a slot.
 *
 * @property rank 0 is the most urgent.
 * @property arrivedMs when the caller's request was read, on the monotonic clock.
 * @property targetMs time from arrival within which the answer counts as in time.
 * @property giveUpMs monotonic time after which it is refused.
 * @property patienceMs time from arrival after which the caller leaves without a first event.
 * @property endMs monotonic time by which it must be answered.
 * @property avoid servers that have failed it already; used if there is no other.
 * @property excludedServers servers to which the host that sends it must send nothing.
 * @property domain failure domain of the host that sends it; null for this host's.
 * @property isRelayedHere whether this host sends it and sees the answer's bytes.
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
    val isRelayedHere: Boolean = true
) {
    /** Whether its answer can still come in time. */
    fun isInTime(nowMs: Long): Boolean = inTimeLeftMs(nowMs) > 0

    /** Time for which it can wait and still be in time, in milliseconds; not above 0 if it cannot. */
    fun inTimeLeftMs(nowMs: Long): Double = arrivedMs + targetMs * WAIT_SHARE - nowMs

    /** What it asks of a server at [nowMs]. */
    fun demand(nowMs: Long) = PlacementRequest(
        work = work,
        endLeftMs = endMs - nowMs,
        targetLeftMs = arrivedMs + targetMs - nowMs,
        patienceLeftMs = arrivedMs + patienceMs - nowMs,
        domain = domain,
        excludedServers = excludedServers
    )

    private companion object {
        // The rest of the target is for the server's own time to the first event.
        const val WAIT_SHARE = 0.8
    }
}
