package org.hyssoprack.orders

/**
 * Limits of the order service, in milliseconds but for the counts.
 *
 * @property termMs how long a lease lasts after the write that took or renewed it was sent.
 * @property clockMarginMs what a new holder waits beyond the term, for clocks that run unlike.
 * @property sendMs time that must be left of the term when an order is sent.
 * @property checks how often the state is read again after an order.
 * @property checkDelayMs pause before each of these checks.
 * @property versionTtlMs how long an answer of the weight store is used.
 * @property weightTries calls to the weight store while it limits the rate.
 */
data class OrderSettings(
    val termMs: Long = 5_000,
    val clockMarginMs: Long = 1_500,
    val sendMs: Long = 1_000,
    val checks: Int = 3,
    val checkDelayMs: Long = 500,
    val versionTtlMs: Long = 10_000,
    val weightTries: Int = 3,
    val callLimitMs: Long = 30_000
)
