package org.hyssoprack.serving.placement

import kotlin.random.Random
import org.hyssoprack.common.FailureDomain

/**
 * Chooses the server on which a request is expected to go best. Answers load in which servers of
 * unlike speed are partly full: the time to the first event counts most, the time for which the
 * slot is held counts in part, and a request waits rather than go to a server on which it comes
 * too late while it could still be in time on another one.
 */
class ServerChooser(
    private val domain: FailureDomain,
    private val random: Random = Random.Default
) {
    /**
     * The best of [candidates] for [demand]; null if it should wait.
     *
     * @param typical speeds of servers of which nothing is known yet.
     */
    fun choose(
        candidates: Collection<ServerState>,
        demand: PlacementRequest,
        typical: TypicalSpeed = TypicalSpeed.of(candidates)
    ): ServerState? {
        val work = demand.work
        val usable = candidates.filter {
            it.isOpen && it.server.id !in demand.excludedServers && it.hasRoom(work)
        }
        if (usable.isEmpty()) return null
        val present = candidates.filter { !it.server.isLeaving }
        val sound = usable.filter { !it.isSuspect }.ifEmpty { usable }
        val limits = limitsOf(present, demand, typical)
        val able = sound.filter { isAble(it, work, typical, limits) }
        if (able.isEmpty() && limits.isReachable) return null
        val from = demand.domain ?: domain
        return able.ifEmpty { sound }.minByOrNull { costMs(it, work, typical, from) * jitter() }
    }

    /** What can be asked of a server: to be in time if any could be, else what callers endure. */
    private fun limitsOf(
        present: List<ServerState>,
        demand: PlacementRequest,
        typical: TypicalSpeed
    ): Limits {
        val work = demand.work
        val sound = present.filter { !it.isSuspect }
        val bestFirst = sound.minOfOrNull { idleFirstMs(it, work, typical) } ?: Double.MAX_VALUE
        val bestWhole =
            sound.minOfOrNull { idleFirstMs(it, work, typical) + restMs(it, work, typical) }
                ?: Double.MAX_VALUE
        val canBeInTime = bestFirst <= demand.targetLeftMs
        val firstMs = if (canBeInTime) demand.targetLeftMs else demand.patienceLeftMs
        return Limits(
            firstMs = firstMs.toDouble(),
            wholeMs = demand.endLeftMs.toDouble(),
            isReachable = bestFirst <= firstMs && bestWhole <= demand.endLeftMs
        )
    }

    private fun isAble(
        state: ServerState,
        work: WorkEstimate,
        typical: TypicalSpeed,
        limits: Limits
    ): Boolean {
        val first = firstMs(state, work, typical)
        return first <= limits.firstMs && first + restMs(state, work, typical) <= limits.wholeMs
    }

    /** Expected time to the first event if the server had nothing else to read. */
    private fun idleFirstMs(state: ServerState, work: WorkEstimate, typical: TypicalSpeed): Double =
        ServerSpeed.FIXED_MS + work.promptTokens * (state.speed.prefillMs ?: typical.prefillMs)

    /** Expected time to the first event, in milliseconds. */
    private fun firstMs(state: ServerState, work: WorkEstimate, typical: TypicalSpeed): Double {
        val prefill = state.speed.prefillMs ?: typical.prefillMs
        return ServerSpeed.FIXED_MS + (state.load.promptTokens + work.promptTokens) * prefill
    }

    /** Expected time from the first event to the end, in milliseconds. */
    private fun restMs(state: ServerState, work: WorkEstimate, typical: TypicalSpeed): Double =
        work.outputTokens * (state.speed.tokenMs ?: typical.tokenMs)

    private fun costMs(
        state: ServerState,
        work: WorkEstimate,
        typical: TypicalSpeed,
        from: FailureDomain
    ): Double {
        val distance = if (state.server.domain == from) 0.0 else FAR_MS
        val used = state.load.running.toDouble() / state.server.slots
        if (work.tokens == 0) {
            val call = state.speed.callMs ?: typical.callMs
            return call * (1 + used) + distance
        }
        val first = firstMs(state, work, typical)
        return first + restMs(state, work, typical) * HOLD_WEIGHT + used * FULL_COST_MS + distance
    }

    // Hosts with the same knowledge must not all choose the same server.
    private fun jitter() = 1.0 + random.nextDouble() * JITTER

    /** Bounds in milliseconds; [isReachable] tells whether some server could meet them. */
    private class Limits(val firstMs: Double, val wholeMs: Double, val isReachable: Boolean)

    private companion object {
        // A slot that is held for long is missing to other requests.
        const val HOLD_WEIGHT = 0.05

        // Requests that run beside each other slow each other down.
        const val FULL_COST_MS = 20.0

        // The way to another failure domain and back.
        const val FAR_MS = 2.0
        const val JITTER = 0.2
    }
}
