package org.hyssoprack.serving.queue

import kotlin.random.Random

/**
 * Computes when callers that are rejected for lack of capacity should retry, for overloads that
 * last for seconds. An overload that has lasted long is likely to continue, and a caller that
 * retries too early is rejected again, so the delay grows with the duration of the overload. It is
 * randomized, so that callers rejected together do not retry together.
 */
class RetryAfterPolicy(private val random: Random = Random.Default) {
    private var startedMs = 0L
    private var lastRejectionMs = Long.MIN_VALUE / 2

    /**
     * Returns the retry delay for a caller with [leftMs] left until its deadline, in milliseconds.
     */
    fun retryAfterMs(nowMs: Long, leftMs: Long): Long {
        if (nowMs - lastRejectionMs > CALM_MS) startedMs = nowMs
        lastRejectionMs = nowMs
        val lastedMs = (nowMs - startedMs).toDouble()
        val maxMs = maxMs(leftMs).toDouble()
        val baseMs = lastedMs.coerceIn(MIN_MS.toDouble(), maxMs)
        return minOf(baseMs * (1 + random.nextDouble()), maxMs).toLong()
    }

    companion object {
        /** Shortest delay, in milliseconds. */
        const val MIN_MS = 400L

        // An overload counts as over after this time without a rejection.
        private const val CALM_MS = 1_000L

        // Callers wait for at most a third of the time that they have left.
        private const val HONOURED_DIVISOR = 3

        /** Returns the longest delay that a caller with [leftMs] left honours, in milliseconds. */
        fun maxMs(leftMs: Long): Long = (leftMs / HONOURED_DIVISOR).coerceAtLeast(MIN_MS)
    }
}
