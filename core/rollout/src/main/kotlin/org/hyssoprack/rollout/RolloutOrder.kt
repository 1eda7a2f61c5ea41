package org.hyssoprack.rollout

import org.hyssoprack.common.ServiceId

/**
 * An operator's order to move the requests of [service] to servers of version [to].
 *
 * @property durationMs time from the order within which the roll-out must have ended.
 */
data class RolloutOrder(val service: ServiceId, val to: String, val durationMs: Long)
