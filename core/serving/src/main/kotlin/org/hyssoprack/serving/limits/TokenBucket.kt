package org.hyssoprack.serving.limits

import kotlin.math.ceil
import org.hyssoprack.common.Clock

/**
 * Admits requests at a rate. Starts empty, so that a host that takes over a limit does not repeat a
 * burst that another host has allowed. Rates are in requests per millisecond.
 */
internal class TokenBucket(private val clock: Clock) {
    private var tokens = 0.0
    private var filledMs = clock.nowMs()

    /** Returns the time until a request is admitted, in milliseconds; 0 if one is now. */
    fun waitMs(perMs: Double): Long {
        fill(perMs)
        return if (tokens >= 1) 0 else ceil((1 - tokens) / perMs).toLong()
    }

    /** Consumes the token of one request. */
    fun take(perMs: Double) {
        fill(perMs)
        tokens--
    }

    /** Returns the token of a request that was not sent. */
    fun giveBack(perMs: Double) {
        fill(perMs)
        tokens = minOf(tokens + 1, sizeOf(perMs))
    }

    /** Removes all tokens. */
    fun clear() {
        tokens = 0.0
        filledMs = clock.nowMs()
    }

    private fun fill(perMs: Double) {
        val nowMs = clock.nowMs()
        tokens = minOf(tokens + (nowMs - filledMs) * perMs, sizeOf(perMs))
        filledMs = nowMs
    }

    private fun sizeOf(perMs: Double) = 1 + perMs * BURST_MS

    private companion object {
        // Waiting requests are checked at intervals, in which several tokens accrue at high rates.
        const val BURST_MS = 100L
    }
}
