package org.hyssoprack.gateway.forwarding.overload

/** An engine that reads one prompt after the other, and generates for all its requests at once. */
internal class SimulatedServer(private val slowness: Double) {
    private var readsUntilMs = 0.0

    /** Time at which the first event of a prompt that comes now is there, in milliseconds. */
    fun firstAtMs(nowMs: Long, promptTokens: Int): Long {
        readsUntilMs = maxOf(readsUntilMs, nowMs.toDouble()) + promptTokens * READ_MS * slowness
        return readsUntilMs.toLong() + FIXED_MS
    }

    /** Time from the first event to the end, in milliseconds. */
    fun generateMs(outputTokens: Int): Long = (outputTokens * TOKEN_MS * slowness).toLong()

    private companion object {
        const val READ_MS = 0.0163
        const val TOKEN_MS = 3.5
        const val FIXED_MS = 12L
    }
}
