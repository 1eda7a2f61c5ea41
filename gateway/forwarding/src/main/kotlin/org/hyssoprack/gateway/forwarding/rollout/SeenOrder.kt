package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.rollout.RolloutOrder

/**
 * An order as this host has seen it.
 *
 * @property seenMs monotonic time at which it was read.
 * @property isSeenLive whether it was read as a change of the table, hence soon after it was written.
 * @property number number of orders for the service that this host has seen.
 */
data class SeenOrder(
    val order: RolloutOrder,
    val seenMs: Long,
    val isSeenLive: Boolean,
    val number: Int
)
