package org.hyssoprack.scheduling

/**
 * Expected speed of a backend server.
 *
 * @property firstTokenMs time to the first token of a short prompt, in milliseconds.
 * @property tokenMs time between tokens, in milliseconds.
 * @property prefillTokensPerMs rate of prompt processing in tokens per millisecond; 0 if unknown.
 */
internal data class SpeedEstimate(
    val firstTokenMs: Double = 0.0,
    val tokenMs: Double = 0.0,
    val prefillTokensPerMs: Double = 0.0
) {
    /** Returns the time to process [tokens] of a prompt, in milliseconds. */
    fun prefillMs(tokens: Double): Double {
        if (prefillTokensPerMs <= 0) return 0.0
        return tokens / prefillTokensPerMs
    }
}
