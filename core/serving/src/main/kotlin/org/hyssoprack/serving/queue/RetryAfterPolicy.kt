package org.hyssoprack.serving.queue

import kotlin.random.Random

/**
 * Tells callers that are refused for lack of capacity when to come back. Answers overload that lasts
 * for seconds: one that has lasted long is likely to last on, and a caller that comes back too early
 * is refused again, so the time grows with the overload. It is spread, so that those who were
 * refused together do not come back together.
 */
class RetryAfterPolicy(private val random: Random = Random.Default) {
    private var startedMs = 0L
    private var lastRefusalMs = Long.MIN_VALUE / 2

    /** Time after which a caller should come back that has [leftMs] in all, in milliseconds. */
    fun retryAfterMs(nowMs: Long, leftMs: Long): Long {
        if (nowMs - lastRefusalMs > CALM_MS) startedMs = nowMs
        lastRefusalMs = nowMs
        val lastedMs = (nowMs - startedMs).toDouble()
        val mostMs = (leftMs / HONOURED_SHARE).coerceAtLeast(MIN_MS)
        val baseMs = lastedMs.coerceIn(MIN_MS, mostMs)
        return minOf(baseMs * (1 + random.nextDouble()), mostMs).toLong()
    }

    private companion object {
        // Without a refusal for so long, an overload is over.
        const val CALM_MS = 1_000L
        const val MIN_MS = 400.0

        // Callers wait for at most a third of the time that they have left.
        const val HONOURED_SHARE = 3.0
    }
}
