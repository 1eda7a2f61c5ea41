package org.hyssoprack.serving.placement

/**
 * A backend server's speed at its usual pace, estimated from the requests that it has served. The
 * pace that held while a request ran is taken out of its times; it is 1 where it is not known.
 */
class ServerSpeed {
    private val prefill = SpeedEstimate()
    private val token = SpeedEstimate()
    private val call = SpeedEstimate()

    /** Time to read one prompt token, in milliseconds; null before the first sample. */
    val prefillMs: Double? get() = prefill.value

    /** Time to generate one token of a stream, in milliseconds; null before the first sample. */
    val tokenMs: Double? get() = token.value

    /** Time that a plain call takes, in milliseconds; null before the first sample. */
    val callMs: Double? get() = call.value

    /**
     * Records that a stream's first event came after [firstMs], with [tokens] prompt tokens to be
     * read at [pace].
     */
    fun recordPrompt(tokens: Int, firstMs: Long, pace: Double = 1.0) {
        if (tokens < MIN_PROMPT) return
        prefill.add((firstMs / pace - FIXED_MS).coerceAtLeast(1.0) / tokens)
    }

    /**
     * Records a complete stream of [tokens] that took [ms] from its first event to its end at
     * [pace].
     */
    fun recordStream(tokens: Int, ms: Long, pace: Double = 1.0) {
        if (tokens >= MIN_OUTPUT) token.add(ms / pace / tokens)
    }

    /** Records a plain call that took [ms] at [pace]. */
    fun recordCall(ms: Long, pace: Double = 1.0) = call.add(ms / pace)

    internal companion object {
        /** Time to the first event that does not depend on the prompt, in milliseconds. */
        const val FIXED_MS = 12.0

        // Shorter prompts and responses are ignored, since fixed costs dominate their times.
        private const val MIN_PROMPT = 1_000
        private const val MIN_OUTPUT = 40
    }
}
