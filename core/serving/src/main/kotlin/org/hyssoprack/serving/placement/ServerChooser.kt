package org.hyssoprack.serving.placement

import kotlin.random.Random
import org.hyssoprack.common.FailureDomain

/**
 * Chooses the server with the lowest expected cost for a request, among servers that differ in
 * speed and are partly loaded. The time to the first event counts most, the time for which the slot
 * is held counts in part. A request waits rather than use a server on which it would be late while
 * it could still be on time on another one.
 */
class ServerChooser(
    private val domain: FailureDomain,
    private val random: Random = Random.Default
) {
    /**
     * Returns the best of [candidates] for [request], or null if the request should wait.
     *
     * @param typical speeds assumed for servers without samples.
     */
    fun choose(
        candidates: Collection<ServerState>,
        request: PlacementRequest,
        typical: TypicalSpeed = TypicalSpeed.of(candidates)
    ): ServerState? {
        val work = request.work
        val usable = candidates.filter {
            it.isOpen && it.server.id !in request.excludedServers && it.hasRoom(work)
        }
        if (usable.isEmpty()) return null
        val present = candidates.filter { !it.server.isLeaving && it.isWithinRateLimit }
        val healthy = usable.filter { !it.isSuspect }.ifEmpty { usable }
        val limits = limitsOf(present, request, typical)
        val suitable = healthy.filter { meetsLimits(it, work, typical, limits) }
        if (suitable.isEmpty() && limits.isReachable) return null
        val from = request.domain ?: domain
        return suitable.ifEmpty { healthy }
            .minByOrNull { costMs(it, work, typical, from) * jitter() }
    }

    /**
     * Returns the time limits for a server: the target if any server could meet it, else the
     * caller's patience.
     */
    private fun limitsOf(
        present: List<ServerState>,
        request: PlacementRequest,
        typical: TypicalSpeed
    ): TimeLimits {
        val work = request.work
        val healthy = present.filter { !it.isSuspect }
        val bestFirst = healthy.minOfOrNull { idleFirstMs(it, work, typical) } ?: Double.MAX_VALUE
        val bestWhole =
            healthy.minOfOrNull { idleFirstMs(it, work, typical) + restMs(it, work, typical) }
                ?: Double.MAX_VALUE
        val canBeOnTime = bestFirst <= request.targetLeftMs
        val firstMs = if (canBeOnTime) request.targetLeftMs else request.patienceLeftMs
        return TimeLimits(
            firstMs = firstMs.toDouble(),
            wholeMs = request.endLeftMs.toDouble(),
            isReachable = bestFirst <= firstMs && bestWhole <= request.endLeftMs
        )
    }

    private fun meetsLimits(
        state: ServerState,
        work: WorkEstimate,
        typical: TypicalSpeed,
        limits: TimeLimits
    ): Boolean {
        val first = firstMs(state, work, typical)
        return first <= limits.firstMs && first + restMs(state, work, typical) <= limits.wholeMs
    }

    /**
     * Returns the expected time to the first event if the server had no other prompts to read, in
     * milliseconds.
     */
    private fun idleFirstMs(state: ServerState, work: WorkEstimate, typical: TypicalSpeed): Double =
        ServerSpeed.FIXED_MS + work.promptTokens * (state.speed.prefillMs ?: typical.prefillMs)

    /** Returns the expected time to the first event, in milliseconds. */
    private fun firstMs(state: ServerState, work: WorkEstimate, typical: TypicalSpeed): Double {
        val prefill = state.speed.prefillMs ?: typical.prefillMs
        return ServerSpeed.FIXED_MS + (state.load.promptTokens + work.promptTokens) * prefill
    }

    /** Returns the expected time from the first event to the end, in milliseconds. */
    private fun restMs(state: ServerState, work: WorkEstimate, typical: TypicalSpeed): Double =
        work.outputTokens * (state.speed.tokenMs ?: typical.tokenMs)

    private fun costMs(
        state: ServerState,
        work: WorkEstimate,
        typical: TypicalSpeed,
        from: FailureDomain
    ): Double {
        val distance = if (state.server.domain == from) 0.0 else CROSS_DOMAIN_MS
        val used = state.load.running.toDouble() / state.server.slots
        if (work.tokens == 0) {
            val call = state.speed.callMs ?: typical.callMs
            return call * (1 + used) + distance
        }
        val first = firstMs(state, work, typical)
        return first + restMs(state, work, typical) * HOLD_WEIGHT + used * FULL_COST_MS + distance
    }

    // Randomizes the costs, since hosts with the same load data must not all choose the same
    // server.
    private fun jitter() = 1.0 + random.nextDouble() * JITTER

    /** Time limits in milliseconds; [isReachable] tells whether some server could meet them. */
    private class TimeLimits(val firstMs: Double, val wholeMs: Double, val isReachable: Boolean)

    private companion object {
        // Weight of the time for which a slot is held, since other requests cannot use it
        // meanwhile.
        const val HOLD_WEIGHT = 0.05

        // Cost of a full server, since concurrent requests slow each other down.
        const val FULL_COST_MS = 20.0

        // Round trip to another failure domain.
        const val CROSS_DOMAIN_MS = 2.0
        const val JITTER = 0.2
    }
}
