package org.hyssoprack.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Measurements of a backend server that one entry host made since its last renewal.
 *
 * @property requests number of requests measured.
 * @property firstTokenMs mean time from dispatch to the first token of short prompts, in
 *   milliseconds; 0 if there were none.
 * @property tokenMs mean time between tokens, in milliseconds; 0 if there were none.
 * @property prefillTokens number of tokens of long prompts that were not in the prefix cache.
 * @property prefillMs sum of the times from dispatch to the first token of long prompts.
 * @property failures number of requests that failed on the server.
 */
@Serializable
data class ServerSample(
    @SerialName("n") val requests: Int,
    @SerialName("f") val firstTokenMs: Double,
    @SerialName("t") val tokenMs: Double,
    @SerialName("p") val prefillTokens: Long,
    @SerialName("m") val prefillMs: Long = 0,
    @SerialName("x") val failures: Int = 0
)
