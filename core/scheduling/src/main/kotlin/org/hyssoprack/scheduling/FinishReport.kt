package org.hyssoprack.scheduling

/**
 * Measurements of a dispatched request that has ended.
 *
 * @property firstTokenMs time from dispatch to the first token; null if there was none.
 * @property tokenMs mean time between tokens; null with fewer than two tokens.
 * @property promptTokens length of the prompt in tokens, as counted by the engine.
 * @property cachedTokens number of prompt tokens found in the prefix cache.
 * @property completionTokens length of the answer in tokens.
 * @property failed whether the answer is incomplete because of a fault of the backend server.
 */
data class FinishReport(
    val firstTokenMs: Long?,
    val tokenMs: Double?,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val completionTokens: Int = 0,
    val failed: Boolean = false
)
