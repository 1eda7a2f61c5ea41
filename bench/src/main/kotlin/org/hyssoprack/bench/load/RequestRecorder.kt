package org.hyssoprack.bench.load

/** Records the response to one request as its caller receives it. */
internal class RequestRecorder(
    private val planned: PlannedRequest,
    val requestId: String,
    private val intendedNs: Long
) {
    val verifier = ResponseVerifier(planned)
    var error: ErrorResponse? = null
    var transportError: String? = null
    var neverSent = false
    private var firstTokenMs: Double? = null
    private var lastTokenMs = 0.0
    private val gapsMs = FloatArray(maxOf(0, planned.answerTokens - 1))

    /** Records the time of a received token. */
    fun recordToken() {
        val now = sinceIntendedMs()
        val index = verifier.tokens - 1
        if (index == 0) firstTokenMs = now
        if (index in 1..gapsMs.size) gapsMs[index - 1] = (now - lastTokenMs).toFloat()
        lastTokenMs = now
    }

    /** Returns the record of the finished request. */
    fun finish(): RequestRecord {
        val endMs = sinceIntendedMs()
        val failure = error ?: verifier.error
        return RequestRecord(
            planned = planned,
            requestId = requestId,
            outcome = outcome(endMs, failure),
            resultCode = failure?.number,
            detail = failure?.detail ?: transportError,
            tokens = verifier.tokens,
            firstTokenMs = firstTokenMs,
            endMs = endMs,
            tokenGapsMs = gapsMs.copyOf(maxOf(0, minOf(gapsMs.size, verifier.tokens - 1)))
        )
    }

    private fun outcome(endMs: Double, failure: ErrorResponse?): RequestOutcome = when {
        verifier.isWrong -> RequestOutcome.WRONG
        verifier.isComplete && endMs <= planned.traffic.deadlineMs -> RequestOutcome.GOOD
        verifier.isComplete -> RequestOutcome.LATE
        verifier.hasEnded -> RequestOutcome.WRONG
        neverSent || failure?.outcome == NOT_RUN -> RequestOutcome.SHED
        verifier.tokens > 0 || failure != null -> RequestOutcome.BROKEN
        else -> RequestOutcome.UNKNOWN
    }

    private fun sinceIntendedMs(): Double = (System.nanoTime() - intendedNs) / NS_PER_MS

    private companion object {
        const val NOT_RUN = "not-run"
        const val NS_PER_MS = 1_000_000.0
    }
}
