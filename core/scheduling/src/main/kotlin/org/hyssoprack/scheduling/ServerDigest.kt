package org.hyssoprack.scheduling

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
 */
@Serializable
data class ServerDigest(
    val limit: Int,
    val lent: Int,
    val waiting: List<Int>,
    val firstTokenMs: Double,
    val tokenMs: Double,
    val prefillTokensPerMs: Double,
    val reportedLoad: Int = 0
)
