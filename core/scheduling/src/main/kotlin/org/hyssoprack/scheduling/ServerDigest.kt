package org.hyssoprack.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * State of a backend server as its owner reports it to entry hosts.
 *
 * @property limit maximum number of slots that the owner lends.
 * @property lent number of slots that are lent now.
 * @property waiting number of registered requests of each tier, by rank.
 * @property firstTokenMs estimated time to the first token of a short prompt, in milliseconds.
 * @property tokenMs estimated time between tokens, in milliseconds.
 * @property prefillTokensPerMs estimated rate of prompt processing in tokens per millisecond.
 * @property straggling whether the server is much slower than before or than its peers.
 * @property reportedLoad number of running and queued requests that the server last reported.
 */
@Serializable
data class ServerDigest(
    @SerialName("l") val limit: Int,
    @SerialName("h") val lent: Int,
    @SerialName("w") val waiting: List<Int>,
    @SerialName("f") val firstTokenMs: Double,
    @SerialName("t") val tokenMs: Double,
    @SerialName("p") val prefillTokensPerMs: Double,
    @SerialName("r") val reportedLoad: Int = 0,
    @SerialName("s") val straggling: Boolean = false
)
