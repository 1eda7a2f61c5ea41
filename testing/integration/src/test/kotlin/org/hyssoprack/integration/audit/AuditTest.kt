package org.hyssoprack.integration.audit

import assertk.assertThat
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.caller.CallOutcome
import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.caller.CallResult
import org.hyssoprack.integration.caller.CallSpec
import org.hyssoprack.integration.deployment.JournalAction
import org.hyssoprack.integration.deployment.JournalEntry
import org.hyssoprack.integration.deployment.TestPolicy

/** Checks with constructed histories that the audit detects each kind of broken promise. */
class AuditTest {
    private class Mutation(val name: String, val broken: Promise?, val history: History)

    private val letter = done(spec(CallKind.LETTER), id = "h1~a~1")
    private val booking = done(spec(CallKind.BOOKING), id = "h1~a~2")
    private val clean = History(
        calls = listOf(letter, booking),
        runs = listOf(run(letter), run(booking)),
        journal = emptyList()
    )

    private val mutations = listOf(
        Mutation("nothing broken", broken = null, clean),
        Mutation(
            "a request dispatched twice",
            Promise.AT_MOST_ONCE,
            clean.copy(runs = clean.runs + run(letter).copy(server = "e2"))
        ),
        Mutation(
            "a request reported as not run that ran",
            Promise.NOT_RUN_IS_TRUE,
            clean.copy(calls = listOf(letter.withOutcome(CallOutcome.NOT_RUN), booking))
        ),
        Mutation(
            "answers of two callers swapped",
            Promise.WHOLE_ANSWER,
            clean.copy(calls = listOf(letter.withText("other:0 "), booking))
        ),
        Mutation(
            "an answer that lacks its end",
            Promise.WHOLE_ANSWER,
            clean.copy(calls = listOf(letter.withText(letter.result.text.dropLast(5)), booking))
        ),
        Mutation(
            "another request's id in the answer",
            Promise.WHOLE_ANSWER,
            clean.copy(calls = listOf(letter.withAnswerIds(setOf("h1~a~9")), booking))
        ),
        Mutation(
            "a booking run under two request ids",
            Promise.RUNS_ONCE,
            clean.copy(runs = clean.runs + run(booking).copy(requestId = "h2~b~1"))
        ),
        Mutation(
            "a booking reported as done that never ran",
            Promise.RUNS_ONCE,
            clean.copy(runs = listOf(run(letter)))
        ),
        Mutation("an older bundle after 4 s", Promise.BUNDLES, laterBundle(sentMs = 14_001)),
        Mutation("an older bundle within 4 s", broken = null, laterBundle(sentMs = 13_999)),
        Mutation(
            "a host that went back to an older bundle",
            Promise.BUNDLES,
            bundleReverted()
        ),
        Mutation("new work 3 s after leaving", Promise.LEAVING, leaving(beganMs = 13_500)),
        Mutation("new work 2 s after leaving", broken = null, leaving(beganMs = 12_000)),
        Mutation("a request cut off by a stop", Promise.GRACEFUL_STOP, stopped()),
        Mutation(
            "a letter shed while a question runs",
            Promise.TIERS,
            shed(questionEndsMs = 9_000)
        ),
        Mutation("a letter shed after the question", broken = null, shed(questionEndsMs = 1_900))
    )

    @Example
    fun `the audit names the broken promise of each history and no other`() =
        mutations.forEach { mutation ->
            val broken = Audit(mutation.history).violations().map { it.promise }.distinct()
            assertThat(broken, mutation.name).isEqualTo(listOfNotNull(mutation.broken))
        }

    private fun laterBundle(sentMs: Long): History {
        val accepted = JournalEntry(10_000, JournalAction.ACCEPTED, "x", detail = 2)
        val late = done(spec(CallKind.LETTER), "h2~a~3", sentMs)
        return clean.copy(calls = clean.calls + late, journal = listOf(accepted))
    }

    private fun bundleReverted(): History {
        val newer = done(spec(CallKind.LETTER), "h1~a~3", sentMs = 3_000, bundle = 2)
        val older = done(spec(CallKind.LETTER), "h1~a~4", sentMs = 5_000, bundle = 1)
        return clean.copy(calls = clean.calls + newer + older)
    }

    private fun leaving(beganMs: Long): History {
        val mark = JournalEntry(10_000, JournalAction.LEAVING, "e1")
        return clean.copy(
            runs = listOf(run(letter).copy(beganMs = beganMs)),
            calls = listOf(letter),
            journal = listOf(mark)
        )
    }

    private fun stopped(): History {
        val stop = JournalEntry(1_050, JournalAction.STOPPED, "h1")
        return History(
            listOf(letter.withOutcome(CallOutcome.NO_ANSWER)),
            listOf(run(letter)),
            listOf(stop)
        )
    }

    private fun shed(questionEndsMs: Long): History {
        val question = done(spec(CallKind.QUESTION), "h1~a~5")
        val shed = letter.withOutcome(CallOutcome.NOT_RUN).copy(endedMs = 2_000)
        return History(
            calls = listOf(question, shed.copy(result = shed.result.copy(code = 2000))),
            runs = listOf(run(question).copy(endedMs = questionEndsMs)),
            journal = emptyList()
        )
    }

    private fun spec(kind: CallKind) = CallSpec(kind = kind, content = "c-$kind", tokens = 3)

    private fun done(spec: CallSpec, id: String, sentMs: Long = 1_000, bundle: Long = 1) =
        CallRecord(
            spec = spec,
            requestId = id,
            host = id.substringBefore('~'),
            incarnation = "a",
            sentMs = sentMs,
            endedMs = sentMs + 100,
            result = CallResult(CallOutcome.DONE, 1000, spec.expectedText, setOf(id), bundle)
        )

    private fun run(call: CallRecord) = BackendRun(
        server = "e1",
        requestId = call.requestId,
        bodyHash = if (call.spec.kind ==
            CallKind.BOOKING
        ) {
            TestPolicy.hash(call.spec.content)
        } else {
            ""
        },
        beganMs = call.sentMs + 10,
        endedMs = call.endedMs
    )

    private fun CallRecord.withOutcome(outcome: CallOutcome) =
        copy(result = result.copy(outcome = outcome))

    private fun CallRecord.withText(text: String) = copy(result = result.copy(text = text))

    private fun CallRecord.withAnswerIds(ids: Set<String>) =
        copy(result = result.copy(answerIds = ids))

    private fun CallRecord.withBundle(version: Long) = copy(result = result.copy(bundle = version))
}
