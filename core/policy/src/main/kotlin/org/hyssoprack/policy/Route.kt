package org.hyssoprack.policy

import org.hyssoprack.common.PoolName
import org.hyssoprack.common.RouteName

/**
 * Sends the requests that match every condition to a pool.
 *
 * @property deadlineMs time from arrival to the end of the answer; a caller may set a shorter one.
 * @property once true if a call may not be repeated; such calls need an idempotency key.
 */
data class Route(
    val name: RouteName,
    val conditions: List<Condition>,
    val tier: Tier,
    val pool: PoolName,
    val deadlineMs: Long,
    val once: Boolean = false
) {
    /** Returns true if a request with [metadata] meets all conditions. */
    fun matches(metadata: RequestMetadata): Boolean = conditions.all { it.holds(metadata) }
}
