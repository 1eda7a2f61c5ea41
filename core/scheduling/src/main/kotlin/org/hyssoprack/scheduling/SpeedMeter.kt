package org.hyssoprack.scheduling

/** Measures the speed of a backend server, or of a generation of them. */
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

    /** Takes in a request whose first token came after [firstMs] with [uncachedTokens] to process. */
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

    /** Takes in what another host measured. */
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

        /** Length of a prompt from which on the time to its first token is mostly prefill. */
        const val LONG_PROMPT_TOKENS = 256
    }
}
