package org.hyssoprack.serving.sharing

import org.hyssoprack.serving.queue.RetryAfterPolicy

/**
 * Computes when refused callers of one service should retry: at the time that the calendar assigns,
 * or, while no slot is predicted to be free for them, after the delay of [policy].
 */
class ReturnTimes(private val policy: RetryAfterPolicy = RetryAfterPolicy()) {
    private val calendar = ReturnCalendar()

    /** Returns the refused callers that were told to return. */
    fun expected(nowMs: Long): List<ExpectedReturns> = calendar.expected(nowMs)

    /** Adds the callers that a previous owner [expected]. */
    fun inherit(expected: List<ExpectedReturns>, nowMs: Long) = calendar.inherit(expected, nowMs)

    /** Returns whether a request with [key] comes from a caller that was told to return now. */
    fun redeem(key: ReturnKey, nowMs: Long): Boolean = calendar.redeem(key, nowMs)

    /**
     * Returns the retry delay of a caller with [leftMs] left until its deadline, in milliseconds.
     *
     * @param waitMs time before which no slot is free for the caller.
     * @param grantsPerMs rate at which slots become free.
     */
    fun retryAfterMs(
        key: ReturnKey,
        nowMs: Long,
        leftMs: Long,
        waitMs: Long,
        grantsPerMs: Double
    ): Long {
        // The policy observes every refusal, since its delay grows with the overload.
        val defaultMs = policy.retryAfterMs(nowMs, leftMs)
        val assignedMs = calendar.book(
            key = key,
            nowMs = nowMs,
            earliestMs = maxOf(waitMs, RetryAfterPolicy.MIN_MS),
            latestMs = RetryAfterPolicy.maxMs(leftMs),
            grantsPerMs = grantsPerMs
        )
        return assignedMs ?: maxOf(defaultMs, waitMs)
    }
}
