package org.hyssoprack.client

/**
 * Bounds of a [HyssoprackClient]; times in milliseconds.
 *
 * @property attempts number of times that one call is sent at most.
 * @property connectTimeoutMs bound of one attempt to connect.
 * @property silenceTimeoutMs longest wait for the first or the next part of an answer.
 * @property firstBackoffMs wait before the second attempt when the answer names none; doubles.
 * @property avoidMs time for which a host that could not be reached is not chosen.
 */
data class ClientSettings(
    val attempts: Int = 4,
    val connectTimeoutMs: Long = 1_000,
    val silenceTimeoutMs: Long = 30_000,
    val firstBackoffMs: Long = 50,
    val avoidMs: Long = 3_000
)
