package org.hyssoprack.serving.placement

import kotlin.random.Random
import org.hyssoprack.common.FailureDomain

/** Chooses the server on which a request is expected to get its answer first. */
class ServerChooser(
    private val domain: FailureDomain,
    private val random: Random = Random.Default
) {
    /** The best of [candidates] with room for [work]; null if none has room. */
    fun choose(candidates: Collection<ServerState>, work: Work): ServerState? {
        val usable = candidates.filter { !it.server.isLeaving && it.hasRoom(work) }
        val sound = usable.filter { !it.isSuspect() }.ifEmpty { usable }
        if (sound.size <= 1) return sound.firstOrNull()
        val typical = typical(candidates)
        return sound.minByOrNull { costMs(it, work, typical) * jitter() }
    }

    /** Expected time of [work] on [state], in milliseconds. */
    private fun costMs(state: ServerState, work: Work, typical: Typical): Double {
        val load = state.load
        val prefill = state.prefillMs.value ?: typical.prefillMs
        val pace = state.paceMs.value ?: typical.paceMs
        val used = load.running.toDouble() / state.server.slots.coerceAtLeast(1)
        val distance = if (state.server.domain == domain) 0.0 else FAR_MS
        val first = (load.promptTokens + work.promptTokens) * prefill
        return first + pace * (1 + used) * PACE_WEIGHT + distance + BASE_MS
    }

    private fun typical(states: Collection<ServerState>) = Typical(
        prefillMs = median(states.mapNotNull { it.prefillMs.value }) ?: DEFAULT_PREFILL_MS,
        paceMs = median(states.mapNotNull { it.paceMs.value }) ?: DEFAULT_PACE_MS
    )

    private fun median(values: List<Double>): Double? =
        if (values.isEmpty()) null else values.sorted()[values.size / 2]

    // Hosts with the same knowledge must not all choose the same server.
    private fun jitter() = 1.0 + random.nextDouble() * JITTER

    private class Typical(val prefillMs: Double, val paceMs: Double)

    private companion object {
        // Until a server has answered: that of a middling engine.
        const val DEFAULT_PREFILL_MS = 0.02
        const val DEFAULT_PACE_MS = 30.0
        const val PACE_WEIGHT = 2.0
        const val BASE_MS = 5.0
        const val FAR_MS = 2.0
        const val JITTER = 0.2
    }
}
