package org.hyssoprack.gateway.forwarding.overload

/**
 * One class of requests in a simulated load; sizes are means.
 *
 * @property perS requests per second at a load of 1.
 * @property targetMs time to the first event that counts as on time.
 * @property deadlineMs total time that callers have.
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
