package org.hyssoprack.backend

/**
 * Tokens that the engine processed for a request, as far as known.
 *
 * @property promptTokens length of the prompt.
 * @property cachedTokens prompt tokens found in the prefix cache.
 * @property completionTokens number of tokens generated.
 */
data class EngineUsage(
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val completionTokens: Int = 0
)
