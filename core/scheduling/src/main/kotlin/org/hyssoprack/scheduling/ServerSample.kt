package org.hyssoprack.scheduling

import kotlinx.serialization.Serializable

/**
 * What one entry host measured on a backend server since its last report.
 *
 * @property requests number of requests measured.
 * @property firstTokenMs mean time from dispatch to the first token, in milliseconds.
 * @property tokenMs mean time between tokens, in milliseconds.
 * @property prefillTokens prompt tokens that were not in the prefix cache.
 * @property failures requests that failed on the server.
 */
@Serializable
data class ServerSample(
    val requests: Int,
    val firstTokenMs: Double,
    val tokenMs: Double,
    val prefillTokens: Long,
    val failures: Int = 0
)
