package org.hyssoprack.integration.audit

import java.security.MessageDigest
import java.util.HexFormat
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.caller.ToldOutcome

/** Compares what ran with what the callers were told. */
class Audit(private val history: History) {
    private val runsById = history.runs.groupBy { it.requestId }
    private val callsById = history.calls.groupBy { it.requestId }

    /** All violations of the promises, in no certain order. */
    fun violations(): List<Violation> = atMostOnce() + wholeAnswers() + notRun() + runsOnce() +
        TierAudit(history).violations() + ChangeAudit(history).violations()

    private fun atMostOnce() = runsById.filterValues { it.size > 1 }.map { (id, runs) ->
        Violation(Promise.AT_MOST_ONCE, "$id ran ${runs.size} times: $runs")
    }

    private fun wholeAnswers() = history.calls.mapNotNull { call ->
        if (call.told.outcome != ToldOutcome.DONE) return@mapNotNull null
        val isOwn = call.told.answerIds.all { it == call.requestId }
        val isWhole = call.told.text == call.spec.expectedText
        if (isOwn && isWhole) return@mapNotNull null
        Violation(Promise.WHOLE_ANSWER, "$call")
    }

    private fun notRun() = history.calls.mapNotNull { call ->
        if (call.told.outcome != ToldOutcome.NOT_RUN) return@mapNotNull null
        val run = runsById[call.requestId].orEmpty().firstOrNull { isOfNoOther(it, call) }
        run?.let { Violation(Promise.NOT_RUN_IS_TRUE, "$call ran: $it") }
    }

    /** True if no other attempt with the same request id explains [run]. */
    private fun isOfNoOther(run: BackendRun, call: CallRecord): Boolean {
        val others = callsById.getValue(call.requestId).filter { it !== call }
        return others.none {
            it.told.outcome != ToldOutcome.NOT_RUN && it.sentMs <= run.beganMs
        }
    }

    private fun runsOnce(): List<Violation> {
        val bookings = history.calls.filter { it.spec.kind == CallKind.BOOKING }
        val runsByBody = history.runs.groupingBy { it.bodyHash }.eachCount()
        return bookings.groupBy { it.spec.content }.mapNotNull { (content, attempts) ->
            val runs = runsByBody[hash(content)] ?: 0
            val isDone = attempts.any { it.told.outcome == ToldOutcome.DONE }
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
