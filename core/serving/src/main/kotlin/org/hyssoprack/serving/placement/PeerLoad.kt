package org.hyssoprack.serving.placement

import kotlinx.serialization.Serializable

/**
 * What one host has in progress at a backend server.
 *
 * @property running requests dispatched and not ended.
 * @property promptTokens prompt tokens of those that have not made their first token.
 * @property tokens memory that all of them will take, in tokens.
 */
@Serializable
data class PeerLoad(val running: Int = 0, val promptTokens: Int = 0, val tokens: Int = 0) {
    operator fun plus(other: PeerLoad) = PeerLoad(
        running = running + other.running,
        promptTokens = promptTokens + other.promptTokens,
        tokens = tokens + other.tokens
    )

    /** What is left of it besides [other]. */
    fun without(other: PeerLoad) = PeerLoad(
        running = (running - other.running).coerceAtLeast(0),
        promptTokens = (promptTokens - other.promptTokens).coerceAtLeast(0),
        tokens = (tokens - other.tokens).coerceAtLeast(0)
    )
}
