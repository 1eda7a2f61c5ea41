package org.hyssoprack.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * State of a backend server as its owner shares it.
 *
 * @property limit slots that the owner lends at most.
 * @property lent slots that are lent now.
 * @property waiting registered requests, by tier rank.
 * @property firstTokenMs estimated time to the first token of a short prompt, in milliseconds.
 * @property tokenMs estimated time between tokens, in milliseconds.
 * @property prefillTokensPerMs estimated rate of prompt processing.
 * @property straggling whether the server is much slower than before or than its peers.
 * @property reportedLoad running and queued requests by the server's own, stale report.
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
