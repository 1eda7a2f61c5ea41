package org.hyssoprack.gateway.forwarding.overload

/**
 * One kind of request in a played load; sizes are means.
 *
 * @property perS requests a second at a load of 1.
 * @property targetMs time to the first event that counts as in time.
 * @property deadlineMs time that callers have in all.
 */
internal data class RequestClass(
    val name: String,
    val rank: Int,
    val perS: Double,
    val promptTokens: Int,
    val outputTokens: Int,
    val targetMs: Long,
    val deadlineMs: Long
)
