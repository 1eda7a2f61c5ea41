package org.hyssoprack.integration.audit

import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.integration.caller.CallRecord

/** Checks that no letter (highest tier) was shed while a question (lowest tier) held a slot. */
internal class TierAudit(private val history: History) {
    private val questionIds = history.calls
        .filter { it.spec.kind == CallKind.QUESTION }
        .mapTo(HashSet()) { it.requestId }
    private val questionRuns = history.runs.filter { it.requestId in questionIds }

    fun violations(): List<Violation> = history.calls.filter(::isShedLetter).mapNotNull { call ->
        val run = questionRuns.firstOrNull { it.wasRunningAt(call.endedMs) }
        run?.let { Violation(Promise.TIERS, "$call was shed while $it ran") }
    }

    private fun isShedLetter(call: CallRecord): Boolean = call.spec.kind == CallKind.LETTER &&
        call.result.outcome == CallOutcome.NOT_RUN &&
        call.result.code in SHED_CODES

    /**
     * Returns true if the run lasted from more than [MARGIN_MS] before [timeMs] to more than
     * [MARGIN_MS] after it, the time that a message between hosts may take.
     */
    private fun BackendRun.wasRunningAt(timeMs: Long): Boolean {
        val until = endedMs ?: return false
        return beganMs < timeMs - MARGIN_MS && until > timeMs + MARGIN_MS
    }

    private companion object {
        const val MARGIN_MS = 500L
        val SHED_CODES = setOf(2000, 2001, 2002)
    }
}
