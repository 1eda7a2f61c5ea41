package org.hyssoprack.serving.placement

/**
 * Size of one request for an engine; zero for a plain service.
 *
 * @property promptTokens tokens to read before the first token.
 * @property outputTokens tokens that are expected to be generated.
 */
data class WorkEstimate(val promptTokens: Int = 0, val outputTokens: Int = 0) {
    val tokens: Int get() = promptTokens + outputTokens
}
