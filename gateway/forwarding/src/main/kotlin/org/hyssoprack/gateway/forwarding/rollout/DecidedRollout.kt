package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.rollout.Rollout
import org.hyssoprack.rollout.RolloutRecord

/**
 * A roll-out that this host decides, and the rows that it wrote.
 *
 * @property seen order by which it was taken up.
 * @property record the stored record, at [recordRevision].
 * @property statusRevision revision of the status row as last known; 0 if there is none.
 * @property isPublished whether the status row is known to be of this order.
 */
internal class DecidedRollout(
    val rollout: Rollout,
    val seen: SeenOrder,
    var record: RolloutRecord,
    var recordRevision: Long,
    var statusRevision: Long,
    var isPublished: Boolean
) {
    /** Monotonic time of the last write of the record. */
    var recordedMs = Long.MIN_VALUE / 2

    /** Whether a final state is stored. */
    var isStored = false

    /** Name of the last decision that was logged. */
    var logged: String? = null
}
