package org.hyssoprack.client

import kotlin.random.Random
import org.hyssoprack.common.Failure
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/**
 * Decides for one call whether it may be sent again, and under which request id.
 *
 * An id that was answered `not-run`, or never left this process, is done with, and the next attempt
 * gets an id that names the next host. An id whose answer was lost is kept, so that the host that
 * it names is asked before the call runs anywhere else. Calls with an idempotency key are settled
 * by the key, whatever the id.
 */
internal class RetryPlan(
    private val hasKey: Boolean,
    private val settings: ClientSettings,
    private val random: Random
) {
    private var lostId: RequestId? = null
    private var mayHaveRun = false
    private var count = 0

    /** The next attempt, through [host]. */
    fun next(host: EntryHost): Attempt {
        count++
        val kept = lostId
        if (kept != null) return Attempt(host = host, id = kept, isFirst = false)
        val suffix = random.nextLong().toULong().toString(RADIX)
        val id = RequestId.of(origin = host.ref, suffix = suffix)
        return Attempt(host = host, id = id, isFirst = true)
    }

    /** What to do after [attempt] ended with [end] and [remainingMs] are left. */
    fun after(attempt: Attempt, end: AttemptEnd, remainingMs: Long): RetryStep {
        note(attempt, end)
        val delayMs = delayMs(end.failure)
        val isPossible = count < settings.attempts && delayMs < remainingMs
        if (isPossible && mayRepeat(end)) return RetryStep.Again(delayMs)
        return RetryStep.GiveUp(verdict(end.failure))
    }

    private fun note(attempt: Attempt, end: AttemptEnd) {
        val isUnknown = end is AttemptEnd.Lost || outcomeOf(end) == Outcome.UNKNOWN
        if (!isUnknown) return
        mayHaveRun = true
        if (end is AttemptEnd.Lost && !hasKey) lostId = attempt.id
    }

    private fun mayRepeat(end: AttemptEnd): Boolean = when (end) {
        is AttemptEnd.NotSent -> true
        is AttemptEnd.Lost -> end.tokens == 0
        is AttemptEnd.Refused -> mayRepeat(end.failure.code)
    }

    private fun mayRepeat(code: ResultCode): Boolean = when (code.outcome) {
        Outcome.DONE -> false
        Outcome.UNKNOWN -> hasKey
        Outcome.NOT_RUN -> code.number / FAMILY in REPEATABLE_FAMILIES && code !in HOPELESS
    }

    private fun outcomeOf(end: AttemptEnd): Outcome = end.failure.code.outcome

    // A not-run answer speaks of its own attempt, and not of an earlier one.
    private fun verdict(failure: Failure): Failure {
        if (!mayHaveRun || failure.code.outcome == Outcome.UNKNOWN) return failure
        val detail = "An earlier attempt may have run; the last one: $failure"
        return Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, detail, failure.retryAfterMs)
    }

    private fun delayMs(failure: Failure): Long {
        val backoffMs = settings.firstBackoffMs shl minOf(count - 1, MAX_DOUBLINGS)
        val baseMs = failure.retryAfterMs ?: backoffMs
        return baseMs + random.nextLong(baseMs / 2 + 1)
    }

    private companion object {
        const val RADIX = 36
        const val FAMILY = 1_000
        const val MAX_DOUBLINGS = 6
        val REPEATABLE_FAMILIES = setOf(2, 6)
        val HOPELESS = setOf(ResultCode.DEADLINE_PASSED_WAITING, ResultCode.CALLER_LEFT)
    }
}
