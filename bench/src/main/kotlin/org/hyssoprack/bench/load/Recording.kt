package org.hyssoprack.bench.load

/** Collects what a caller sees of one request while it is in progress. */
internal class Recording(
    private val planned: PlannedRequest,
    val requestId: String,
    private val intendedNs: Long
) {
    val check = AnswerCheck(planned)
    var error: ErrorAnswer? = null
    var transportError: String? = null
    var neverSent = false
    private var firstTokenMs: Double? = null
    private var lastTokenMs = 0.0
    private val gapsMs = FloatArray(maxOf(0, planned.answerTokens - 1))

    /** Notes that a token came. */
    fun token() {
        val now = sinceIntendedMs()
        val index = check.tokens - 1
        if (index == 0) firstTokenMs = now
        if (index in 1..gapsMs.size) gapsMs[index - 1] = (now - lastTokenMs).toFloat()
        lastTokenMs = now
    }

    /** The record of the request, which is over. */
    fun finish(): RequestRecord {
        val endMs = sinceIntendedMs()
        val failure = error ?: check.error
        return RequestRecord(
            planned = planned,
            requestId = requestId,
            outcome = outcome(endMs, failure),
            resultCode = failure?.number,
            detail = failure?.detail ?: transportError,
            tokens = check.tokens,
            firstTokenMs = firstTokenMs,
            endMs = endMs,
            tokenGapsMs = gapsMs.copyOf(maxOf(0, minOf(gapsMs.size, check.tokens - 1)))
        )
    }

    private fun outcome(endMs: Double, failure: ErrorAnswer?): RequestOutcome = when {
        check.isWrong -> RequestOutcome.WRONG
        check.isWhole && endMs <= planned.traffic.deadlineMs -> RequestOutcome.GOOD
        check.isWhole -> RequestOutcome.LATE
        check.hasEnded -> RequestOutcome.WRONG
        neverSent || failure?.outcome == NOT_RUN -> RequestOutcome.SHED
        check.tokens > 0 || failure != null -> RequestOutcome.BROKEN
        else -> RequestOutcome.UNKNOWN
    }

    private fun sinceIntendedMs(): Double = (System.nanoTime() - intendedNs) / NS_PER_MS

    private companion object {
        const val NOT_RUN = "not-run"
        const val NS_PER_MS = 1_000_000.0
    }
}
