package org.hyssoprack.integration.audit

import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.caller.ToldOutcome

/** Checks that no letter was shed while a question held a slot. */
internal class TierAudit(private val history: History) {
    private val questionIds = history.calls
        .filter { it.spec.kind == CallKind.QUESTION }
        .mapTo(HashSet()) { it.requestId }
    private val questionRuns = history.runs.filter { it.requestId in questionIds }

    fun violations(): List<Violation> = history.calls.filter(::isShedLetter).mapNotNull { call ->
        val run = questionRuns.firstOrNull { it.isRunningAround(call.endedMs) }
        run?.let { Violation(Promise.TIERS, "$call was shed while $it ran") }
    }

    private fun isShedLetter(call: CallRecord): Boolean = call.spec.kind == CallKind.LETTER &&
        call.told.outcome == ToldOutcome.NOT_RUN &&
        call.told.code in SHED_CODES

    /** True if the run covers more than the time that a message between hosts may take. */
    private fun BackendRun.isRunningAround(timeMs: Long): Boolean {
        val until = endedMs ?: return false
        return beganMs < timeMs - MARGIN_MS && until > timeMs + MARGIN_MS
    }

    private companion object {
        const val MARGIN_MS = 500L
        val SHED_CODES = setOf(2000, 2001, 2002)
    }
}
