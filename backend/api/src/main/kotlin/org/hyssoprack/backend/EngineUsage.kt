package org.hyssoprack.backend

/**
 * Work that the engine did for a request, as far as known.
 *
 * @property promptTokens length of the prompt.
 * @property cachedTokens part of the prompt met from the prefix cache.
 * @property completionTokens number of tokens generated.
 */
data class EngineUsage(
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val completionTokens: Int = 0
)
