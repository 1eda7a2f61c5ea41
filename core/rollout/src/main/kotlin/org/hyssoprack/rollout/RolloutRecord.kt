package org.hyssoprack.rollout

import kotlinx.serialization.Serializable

/**
 * The decider's record of one roll-out, stored so that another decider can continue.
 *
 * @property orderRevision revision of the order's row, which tells two orders apart.
 * @property statusRevision revision of the status row when the order was taken up; a later one is of
 *   this order. 0 if there was none.
 * @property orderedMs time of the order in Unix milliseconds, by the clock of its first decider.
 * @property total requests of the service since the order.
 * @property reserved upper bound of the requests that the new version got.
 * @property counts responses by route.
 */
@Serializable
data class RolloutRecord(
    val to: String,
    val orderRevision: Long,
    val statusRevision: Long,
    val orderedMs: Long,
    val decider: String,
    val total: Long = 0,
    val reserved: Long = 0,
    val counts: Map<String, ResponseCounts> = emptyMap()
)
