package org.hyssoprack.serving.queue

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.placement.Work

/**
 * A request that waits for a slot.
 *
 * @property rank 0 is the most urgent.
 * @property arrivedMs when the caller's request was read, on the monotonic clock.
 * @property targetMs time from arrival within which the answer counts as in time.
 * @property giveUpMs monotonic time after which it is refused.
 * @property endMs monotonic time by which it must be answered.
 * @property avoid servers that have failed it already.
 */
class QueuedRequest(
    val service: ServiceId,
    val work: Work,
    val rank: Int,
    val arrivedMs: Long,
    val targetMs: Long,
    val giveUpMs: Long,
    val endMs: Long,
    val avoid: Set<BackendServerId> = emptySet()
) {
    /** Whether its answer can still come in time. */
    fun isInTime(nowMs: Long): Boolean = nowMs < arrivedMs + targetMs
}
