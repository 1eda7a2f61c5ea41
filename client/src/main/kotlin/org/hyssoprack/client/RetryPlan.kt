package org.hyssoprack.client

import kotlin.random.Random
import org.hyssoprack.common.Failure
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/**
 * Decides for one call whether to retry it, and with which request id.
 *
 * If an attempt ended with `not-run` or was not sent, the next attempt gets a new id, which names
 * the next host. If its response was lost, the id is kept, so that the host that the id names is
 * asked about the call before it runs anywhere else. For calls with an idempotency key, the key
 * prevents a second run, whatever the id.
 */
internal class RetryPlan(
    private val hasKey: Boolean,
    private val settings: ClientSettings,
    private val random: Random
) {
    private var lostId: RequestId? = null
    private var mayHaveRun = false
    private var attemptCount = 0

    /** Returns the next attempt, sent through [host]. */
    fun next(host: EntryHost): Attempt {
        attemptCount++
        val kept = lostId
        if (kept != null) return Attempt(host = host, id = kept, isFirst = false)
        val suffix = random.nextLong().toULong().toString(RADIX)
        val id = RequestId.of(origin = host.ref, suffix = suffix)
        return Attempt(host = host, id = id, isFirst = true)
    }

    /** Decides whether to retry after [attempt] ended as [failed], with [remainingMs] ms left. */
    fun decide(attempt: Attempt, failed: FailedAttempt, remainingMs: Long): RetryDecision {
        recordOutcome(attempt, failed)
        val delayMs = delayMs(failed.failure)
        val isWithinLimits = attemptCount < settings.attempts && delayMs < remainingMs
        if (isWithinLimits && isRetryable(failed)) return RetryDecision.RetryAfter(delayMs)
        return RetryDecision.GiveUp(finalFailure(failed.failure))
    }

    private fun recordOutcome(attempt: Attempt, failed: FailedAttempt) {
        val isUnknown = failed is FailedAttempt.Lost || outcomeOf(failed) == Outcome.UNKNOWN
        if (!isUnknown) return
        mayHaveRun = true
        if (failed is FailedAttempt.Lost && !hasKey) lostId = attempt.id
    }

    private fun isRetryable(failed: FailedAttempt): Boolean = when (failed) {
        is FailedAttempt.NotSent -> true
        is FailedAttempt.Lost -> failed.tokens == 0
        is FailedAttempt.Refused -> isRetryable(failed.failure.code)
    }

    private fun isRetryable(code: ResultCode): Boolean = when (code.outcome) {
        Outcome.DONE -> false
        Outcome.UNKNOWN -> hasKey
        Outcome.NOT_RUN ->
            code.number / CODES_PER_FAMILY in RETRYABLE_FAMILIES &&
                code !in NOT_RETRYABLE
    }

    private fun outcomeOf(failed: FailedAttempt): Outcome = failed.failure.code.outcome

    // `not-run` only applies to its own attempt: an earlier attempt may still have run.
    private fun finalFailure(failure: Failure): Failure {
        if (!mayHaveRun || failure.code.outcome == Outcome.UNKNOWN) return failure
        val detail = "an earlier attempt may have run; the last attempt failed with: $failure"
        return Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, detail, failure.retryAfterMs)
    }

    private fun delayMs(failure: Failure): Long {
        val backoffMs = settings.firstBackoffMs shl minOf(attemptCount - 1, MAX_DOUBLINGS)
        val baseMs = failure.retryAfterMs ?: backoffMs
        return baseMs + random.nextLong(baseMs / 2 + 1)
    }

    private companion object {
        const val RADIX = 36
        const val CODES_PER_FAMILY = 1_000
        const val MAX_DOUBLINGS = 6
        val RETRYABLE_FAMILIES = setOf(2, 6)
        val NOT_RETRYABLE = setOf(ResultCode.DEADLINE_PASSED_WAITING, ResultCode.CALLER_LEFT)
    }
}
