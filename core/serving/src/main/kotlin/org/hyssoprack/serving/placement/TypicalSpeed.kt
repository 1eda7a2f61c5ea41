package org.hyssoprack.serving.placement

/**
 * Median speeds of a service's servers, assumed for servers without samples.
 *
 * @property prefillMs time to read one prompt token.
 * @property tokenMs time to generate one token.
 * @property callMs time of a plain call.
 */
class TypicalSpeed(val prefillMs: Double, val tokenMs: Double, val callMs: Double) {
    /** Returns the expected time for which [work] holds a slot, in milliseconds. */
    fun slotMs(work: WorkEstimate): Double = if (work.tokens == 0) {
        callMs
    } else {
        ServerSpeed.FIXED_MS + work.promptTokens * prefillMs + work.outputTokens * tokenMs
    }

    companion object {
        // Speeds of an average engine, used until a server has responded.
        private const val DEFAULT_PREFILL_MS = 0.02
        private const val DEFAULT_TOKEN_MS = 4.0
        private const val DEFAULT_CALL_MS = 50.0

        fun of(states: Collection<ServerState>): TypicalSpeed {
            val speeds = states.map { it.speed }
            return TypicalSpeed(
                prefillMs = median(speeds.mapNotNull { it.prefillMs }) ?: DEFAULT_PREFILL_MS,
                tokenMs = median(speeds.mapNotNull { it.tokenMs }) ?: DEFAULT_TOKEN_MS,
                callMs = median(speeds.mapNotNull { it.callMs }) ?: DEFAULT_CALL_MS
            )
        }

        private fun median(values: List<Double>): Double? =
            if (values.isEmpty()) null else values.sorted()[values.size / 2]
    }
}
