package org.hyssoprack.gateway.forwarding.overload

/**
 * An engine that reads one prompt after another, and generates output for all its requests
 * concurrently.
 */
internal class SimulatedServer(private val slowness: Double) {
    private var readsUntilMs = 0.0

    /** Returns the time of the first event of a prompt that arrives now, in milliseconds. */
    fun firstAtMs(nowMs: Long, promptTokens: Int): Long {
        readsUntilMs = maxOf(readsUntilMs, nowMs.toDouble()) + promptTokens * READ_MS * slowness
        return readsUntilMs.toLong() + FIXED_MS
    }

    /** Returns the time from the first event to the end, in milliseconds. */
    fun generateMs(outputTokens: Int): Long = (outputTokens * TOKEN_MS * slowness).toLong()

    private companion object {
        const val READ_MS = 0.0163
        const val TOKEN_MS = 3.5
        const val FIXED_MS = 12L
    }
}
