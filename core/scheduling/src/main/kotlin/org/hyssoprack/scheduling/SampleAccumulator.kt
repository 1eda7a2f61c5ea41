package org.hyssoprack.scheduling

/** Sums an entry host's measurements of one server between two renewals. */
internal class SampleAccumulator {
    private var requests = 0
    private var failures = 0
    private var firstTokens = 0
    private var firstTokenSumMs = 0.0
    private var tokenMeans = 0
    private var tokenSumMs = 0.0
    private var prefillTokens = 0L
    private var prefillMs = 0L

    fun add(report: FinishReport) {
        requests++
        if (report.failed) failures++
        report.tokenMs?.let {
            tokenMeans++
            tokenSumMs += it
        }
        report.firstTokenMs?.let { addFirstToken(it, report.promptTokens - report.cachedTokens) }
    }

    private fun addFirstToken(firstMs: Long, uncachedTokens: Int) {
        if (uncachedTokens < SpeedMeter.LONG_PROMPT_TOKENS) {
            firstTokens++
            firstTokenSumMs += firstMs
            return
        }
        prefillTokens += uncachedTokens
        prefillMs += firstMs
    }

    /** Returns the measurements since the last call, or null if there are none, and resets them. */
    fun take(): ServerSample? {
        if (requests == 0) return null
        val sample = ServerSample(
            requests = requests,
            firstTokenMs = firstTokenSumMs / firstTokens.coerceAtLeast(1),
            tokenMs = tokenSumMs / tokenMeans.coerceAtLeast(1),
            prefillTokens = prefillTokens,
            prefillMs = prefillMs,
            failures = failures
        )
        clear()
        return sample
    }

    private fun clear() {
        requests = 0
        failures = 0
        firstTokens = 0
        firstTokenSumMs = 0.0
        tokenMeans = 0
        tokenSumMs = 0.0
        prefillTokens = 0
        prefillMs = 0
    }
}
