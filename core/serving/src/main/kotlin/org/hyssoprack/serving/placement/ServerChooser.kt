package org.hyssoprack.serving.placement

import kotlin.random.Random
import org.hyssoprack.common.FailureDomain

/**
 * Chooses the server on which a request is expected to go best. Answers load in which servers of
 * unlike speed are partly full: the time to the first event counts most, the time for which the
 * slot is held counts in part, and a server that cannot end the request in time is no choice while
 * another one could.
 */
class ServerChooser(
    private val domain: FailureDomain,
    private val random: Random = Random.Default
) {
    /** The best of [candidates] for [work], which has [leftMs]; null if it should wait. */
    fun choose(candidates: Collection<ServerState>, work: Work, leftMs: Long): ServerState? {
        val usable = candidates.filter { !it.server.isLeaving && it.hasRoom(work) }
        if (usable.isEmpty()) return null
        val typical = typical(candidates)
        val sound = usable.filter { !it.isSuspect }.ifEmpty { usable }
        val able = sound.filter { wholeMs(it, work, typical) <= leftMs }
        if (able.isEmpty() && isWorthWaiting(candidates, work, typical, leftMs)) return null
        return able.ifEmpty { sound }.minByOrNull { costMs(it, work, typical) * jitter() }
    }

    /** Whether a server that is full now could end the request in time. */
    private fun isWorthWaiting(
        candidates: Collection<ServerState>,
        work: Work,
        typical: TypicalSpeed,
        leftMs: Long
    ): Boolean = candidates.any {
        !it.server.isLeaving && !it.isSuspect && !it.hasRoom(work) &&
            wholeMs(it, work, typical) <= leftMs * WAIT_SHARE
    }

    /** Expected time to the first event, in milliseconds. */
    private fun firstMs(state: ServerState, work: Work, typical: TypicalSpeed): Double {
        val prefill = state.speed.prefillMs ?: typical.prefillMs
        return ServerSpeed.FIXED_MS + (state.load.promptTokens + work.promptTokens) * prefill
    }

    /** Expected time from the first event to the end, in milliseconds. */
    private fun restMs(state: ServerState, work: Work, typical: TypicalSpeed): Double =
        work.outputTokens * (state.speed.tokenMs ?: typical.tokenMs)

    private fun wholeMs(state: ServerState, work: Work, typical: TypicalSpeed): Double =
        firstMs(state, work, typical) + restMs(state, work, typical)

    private fun costMs(state: ServerState, work: Work, typical: TypicalSpeed): Double {
        val distance = if (state.server.domain == domain) 0.0 else FAR_MS
        val used = state.load.running.toDouble() / state.server.slots
        if (work.tokens == 0) {
            val call = state.speed.callMs ?: typical.callMs
            return call * (1 + used) + distance
        }
        val first = firstMs(state, work, typical)
        return first + restMs(state, work, typical) * HOLD_WEIGHT + used * FULL_COST_MS + distance
    }

    private fun typical(states: Collection<ServerState>): TypicalSpeed {
        val speeds = states.map { it.speed }
        return TypicalSpeed(
            prefillMs = median(speeds.mapNotNull { it.prefillMs }) ?: DEFAULT_PREFILL_MS,
            tokenMs = median(speeds.mapNotNull { it.tokenMs }) ?: DEFAULT_TOKEN_MS,
            callMs = median(speeds.mapNotNull { it.callMs }) ?: DEFAULT_CALL_MS
        )
    }

    private fun median(values: List<Double>): Double? =
        if (values.isEmpty()) null else values.sorted()[values.size / 2]

    // Hosts with the same knowledge must not all choose the same server.
    private fun jitter() = 1.0 + random.nextDouble() * JITTER

    private class TypicalSpeed(val prefillMs: Double, val tokenMs: Double, val callMs: Double)

    private companion object {
        // Until a server has answered: those of a middling engine.
        const val DEFAULT_PREFILL_MS = 0.02
        const val DEFAULT_TOKEN_MS = 4.0
        const val DEFAULT_CALL_MS = 50.0

        // A slot that is held for long is missing to other requests.
        const val HOLD_WEIGHT = 0.05
        const val FULL_COST_MS = 20.0
        const val FAR_MS = 2.0
        const val JITTER = 0.2

        // Part of the time left that may be needed after a wait.
        const val WAIT_SHARE = 0.8
    }
}
