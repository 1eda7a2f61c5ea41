package org.hyssoprack.orders

/**
 * Limits of the order service; times are in milliseconds.
 *
 * @property termMs term of a lease, from when the write that acquires or renews it is sent.
 * @property clockMarginMs time that a new holder waits beyond the term, as clocks may run at
 *   different rates.
 * @property minRemainingMs minimum time that is left of the term when an order is sent.
 * @property checks number of status checks after an order to a server that does not check fencing
 *   numbers.
 * @property checkDelayMs pause before each of these checks.
 * @property versionTtlMs time for which an answer of the weight store is cached.
 * @property weightStoreAttempts maximum number of calls to the weight store while it limits the
 *   rate.
 * @property callLimitMs maximum duration of a call to [OrderService.order].
 */
data class OrderSettings(
    val termMs: Long = 5_000,
    val clockMarginMs: Long = 1_500,
    val minRemainingMs: Long = 1_000,
    val checks: Int = 3,
    val checkDelayMs: Long = 500,
    val versionTtlMs: Long = 10_000,
    val weightStoreAttempts: Int = 3,
    val callLimitMs: Long = 30_000
)
