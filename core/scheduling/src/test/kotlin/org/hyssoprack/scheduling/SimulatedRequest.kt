package org.hyssoprack.scheduling

/** A request in a [SchedulerSimulation]. [runsMs] is the time that it needs on a server. */
class SimulatedRequest(
    val request: WaitingRequest,
    val host: Int,
    val runsMs: Long,
    val prefillMs: Long = 0
) {
    val outcomes = ArrayList<String>()
    var dispatches = 0
    var preemptions = 0
    var runningOn: FleetServer? = null
    var leftMs = runsMs.toDouble()
    var cancelAtMs: Long? = null
    var suspendAtMs: Long? = null
    var dispatchedAtMs = 0L
    var firstTokenAtMs: Long? = null
    var endedAtMs = 0L

    /** False in random histories, whose run times do not depend on a server's speed. */
    val isMeasured: Boolean get() = prefillMs > 0

    fun report(nowMs: Long): FinishReport {
        if (!isMeasured) return FinishReport(firstTokenMs = null, tokenMs = null)
        val firstAtMs = firstTokenAtMs
        val tokens = request.completionTokens
        val tokenMs = if (firstAtMs == null ||
            tokens < 2
        ) {
            null
        } else {
            (nowMs - firstAtMs) / tokens.toDouble()
        }
        return FinishReport(
            firstTokenMs = firstAtMs?.minus(dispatchedAtMs),
            tokenMs = tokenMs,
            promptTokens = request.promptTokens,
            completionTokens = tokens
        )
    }
}
