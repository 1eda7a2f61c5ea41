package org.hyssoprack.host

import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.Clock
import org.hyssoprack.scheduling.FinishReport

/** Measures token times of one completion. Suspended time is excluded from the time per token. */
internal class RunMeasurement(private val clock: Clock) {
    private val beganAtMs = clock.nowMs()
    private var firstTokenAtMs: Long? = null
    private var lastTokenAtMs = 0L
    private var tokens = 0
    private var suspendedMs = 0L
    private var suspendedSinceMs: Long? = null

    /**
     * Records one token. Returns the time to the first token in milliseconds, null for later ones.
     */
    fun token(): Long? {
        val now = clock.nowMs()
        tokens++
        lastTokenAtMs = now
        if (firstTokenAtMs != null) return null
        firstTokenAtMs = now
        return now - beganAtMs
    }

    fun suspended() {
        suspendedSinceMs = clock.nowMs()
    }

    fun resumed() {
        val since = suspendedSinceMs ?: return
        suspendedMs += clock.nowMs() - since
        suspendedSinceMs = null
    }

    fun report(usage: EngineUsage, failed: Boolean): FinishReport {
        val first = firstTokenAtMs
        return FinishReport(
            firstTokenMs = first?.let { it - beganAtMs },
            tokenMs = if (first == null || tokens < 2) null else meanTokenMs(first),
            promptTokens = usage.promptTokens,
            cachedTokens = usage.cachedTokens,
            completionTokens = maxOf(usage.completionTokens, tokens),
            failed = failed
        )
    }

    private fun meanTokenMs(first: Long): Double {
        val streamingMs = (lastTokenAtMs - first - suspendedMs).coerceAtLeast(0)
        return streamingMs.toDouble() / (tokens - 1)
    }
}
