package org.hyssoprack.serving.placement

/**
 * Estimated work of one request for an engine, in tokens; zero for a plain service.
 *
 * @property promptTokens prompt tokens to read before the first output token.
 * @property outputTokens expected number of generated tokens.
 */
data class WorkEstimate(val promptTokens: Int = 0, val outputTokens: Int = 0) {
    val tokens: Int get() = promptTokens + outputTokens
}
