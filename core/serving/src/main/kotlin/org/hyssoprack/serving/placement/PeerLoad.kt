package org.hyssoprack.serving.placement

import kotlinx.serialization.Serializable

/**
 * One host's load on a backend server.
 *
 * @property running number of dispatched requests that have not ended.
 * @property promptTokens prompt tokens of the requests without a first output token.
 * @property tokens memory that all running requests will occupy, in tokens.
 */
@Serializable
data class PeerLoad(val running: Int = 0, val promptTokens: Int = 0, val tokens: Int = 0) {
    operator fun plus(other: PeerLoad) = PeerLoad(
        running = running + other.running,
        promptTokens = promptTokens + other.promptTokens,
        tokens = tokens + other.tokens
    )

    /** Returns this load minus [other]; no value goes below 0. */
    fun without(other: PeerLoad) = PeerLoad(
        running = (running - other.running).coerceAtLeast(0),
        promptTokens = (promptTokens - other.promptTokens).coerceAtLeast(0),
        tokens = (tokens - other.tokens).coerceAtLeast(0)
    )
}
