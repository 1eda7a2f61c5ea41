package org.hyssoprack.scheduling

/**
 * How a dispatched request ended and what was measured.
 *
 * @property firstTokenMs time from dispatch to the first token; null if there was none.
 * @property tokenMs mean time between tokens; null with fewer than two tokens.
 * @property promptTokens length of the prompt by the engine's count.
 * @property cachedTokens part of the prompt met from the prefix cache.
 * @property completionTokens number of tokens of the answer.
 * @property failed true if the backend server is to blame for an answer that is not whole.
 */
data class FinishReport(
    val firstTokenMs: Long?,
    val tokenMs: Double?,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val completionTokens: Int = 0,
    val failed: Boolean = false
)
