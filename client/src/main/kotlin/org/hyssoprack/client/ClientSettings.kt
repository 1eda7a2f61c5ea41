package org.hyssoprack.client

/**
 * Limits of a [HyssoprackClient]; times in milliseconds.
 *
 * @property attempts maximum number of attempts per call, the first included.
 * @property connectTimeoutMs timeout of one connection attempt.
 * @property silenceTimeoutMs read timeout for the first and each later part of a response.
 * @property firstBackoffMs delay before the second attempt if the response sets none; doubles with
 *   each further attempt.
 * @property avoidMs time for which a host is avoided after a failed connection or lost response.
 */
data class ClientSettings(
    val attempts: Int = 4,
    val connectTimeoutMs: Long = 1_000,
    val silenceTimeoutMs: Long = 30_000,
    val firstBackoffMs: Long = 50,
    val avoidMs: Long = 3_000
)
