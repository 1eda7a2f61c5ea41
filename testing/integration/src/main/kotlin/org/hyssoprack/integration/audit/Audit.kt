package org.hyssoprack.integration.audit

import java.security.MessageDigest
import java.util.HexFormat
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.integration.caller.CallRecord

/** Checks the promises by comparing the runs on backend servers with the results of the calls. */
class Audit(private val history: History) {
    private val runsById = history.runs.groupBy { it.requestId }
    private val callsById = history.calls.groupBy { it.requestId }

    /** Returns all violations of the promises, in no particular order. */
    fun violations(): List<Violation> = atMostOnce() + wholeAnswers() + notRun() + runsOnce() +
        TierAudit(history).violations() + ChangeAudit(history).violations()

    private fun atMostOnce() = runsById.filterValues { it.size > 1 }.map { (id, runs) ->
        Violation(Promise.AT_MOST_ONCE, "$id ran ${runs.size} times: $runs")
    }

    private fun wholeAnswers() = history.calls.mapNotNull { call ->
        if (call.result.outcome != CallOutcome.DONE) return@mapNotNull null
        val isOwn = call.result.answerIds.all { it == call.requestId }
        val isWhole = call.result.text == call.spec.expectedText
        if (isOwn && isWhole) return@mapNotNull null
        Violation(Promise.WHOLE_ANSWER, "$call")
    }

    private fun notRun() = history.calls.mapNotNull { call ->
        if (call.result.outcome != CallOutcome.NOT_RUN) return@mapNotNull null
        val run = runsById[call.requestId].orEmpty().firstOrNull { isCausedBy(it, call) }
        run?.let { Violation(Promise.NOT_RUN_IS_TRUE, "$call ran: $it") }
    }

    /**
     * Returns true if no other attempt with the same request id can have caused [run]. Such an
     * attempt was sent before the run began and was not reported as not run.
     */
    private fun isCausedBy(run: BackendRun, call: CallRecord): Boolean {
        val others = callsById.getValue(call.requestId).filter { it !== call }
        return others.none {
            it.result.outcome != CallOutcome.NOT_RUN && it.sentMs <= run.beganMs
        }
    }

    private fun runsOnce(): List<Violation> {
        val bookings = history.calls.filter { it.spec.kind == CallKind.BOOKING }
        val runsByBody = history.runs.groupingBy { it.bodyHash }.eachCount()
        return bookings.groupBy { it.spec.content }.mapNotNull { (content, attempts) ->
            val runs = runsByBody[hash(content)] ?: 0
            val isDone = attempts.any { it.result.outcome == CallOutcome.DONE }
            when {
                runs > 1 -> Violation(Promise.RUNS_ONCE, "$content ran $runs times: $attempts")
                isDone && runs == 0 -> Violation(Promise.RUNS_ONCE, "$content was lost: $attempts")
                else -> null
            }
        }
    }

    private fun hash(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
