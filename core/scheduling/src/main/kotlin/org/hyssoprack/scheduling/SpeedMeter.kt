package org.hyssoprack.scheduling

/** Mean speed of a backend server, or of the servers of a generation. */
internal class SpeedMeter(weight: Double = WEIGHT) {
    private val firstTokenMs = Ewma(weight)
    private val tokenMs = Ewma(weight)
    private val prefillTokensPerMs = Ewma(weight)
    var measuredAtMs = Long.MIN_VALUE / 2
        private set

    val count: Int get() = firstTokenMs.count + tokenMs.count + prefillTokensPerMs.count

    fun estimate(): SpeedEstimate = SpeedEstimate(
        firstTokenMs = firstTokenMs.value ?: 0.0,
        tokenMs = tokenMs.value ?: 0.0,
        prefillTokensPerMs = prefillTokensPerMs.value ?: 0.0
    )

    /** Adds a request with [uncachedTokens] to process whose first token came after [firstMs]. */
    fun addFirstToken(nowMs: Long, firstMs: Double, uncachedTokens: Int) {
        measuredAtMs = nowMs
        if (uncachedTokens < LONG_PROMPT_TOKENS) return firstTokenMs.add(firstMs)
        val prefillMs = (firstMs - (firstTokenMs.value ?: 0.0)).coerceAtLeast(1.0)
        prefillTokensPerMs.add(uncachedTokens / prefillMs)
    }

    fun addTokenMs(nowMs: Long, value: Double) {
        measuredAtMs = nowMs
        tokenMs.add(value)
    }

    /** Adds the measurements of another host. */
    fun addSample(nowMs: Long, sample: ServerSample) {
        if (sample.firstTokenMs > 0) firstTokenMs.add(sample.firstTokenMs)
        if (sample.tokenMs > 0) tokenMs.add(sample.tokenMs)
        if (sample.prefillMs > 0) {
            prefillTokensPerMs.add(sample.prefillTokens / sample.prefillMs.toDouble())
        }
        measuredAtMs = nowMs
    }

    companion object {
        const val WEIGHT = 0.2

        /**
         * Number of uncached prompt tokens from which the time to the first token is mostly
         * prefill.
         */
        const val LONG_PROMPT_TOKENS = 256
    }
}
