package org.hyssoprack.serving.settings

/**
 * Limits on the size of callers' requests and on the time to send them.
 *
 * @property headerTimeoutMs time from a request's first byte to the end of its head.
 * @property idleTimeoutMs time that a connection may stay open without a request.
 */
data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000
)
