package org.hyssoprack.serving.placement

import kotlin.random.Random
import org.hyssoprack.common.FailureDomain

/**
 * Chooses the server with the lowest expected cost for a request, among servers that differ in
 * speed and are partly loaded. The time to the first event counts most, the time for which the slot
 * is held counts in part. A request waits rather than use a server on which it would be late while
 * it could still be on time on another one. Expected times are the learned ones at the server's
 * current pace; compared with a time limit, a pace above the usual one is not counted on.
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
            it.server.id !in request.excludedServers && it.hasRoom(work)
        }
        if (usable.isEmpty()) return null
        val present = candidates.filter { !it.server.isLeaving && it.isWithinRateLimit }
        val healthy = usable.filter { !it.isSuspect }.ifEmpty { usable }
        val limits = limitsOf(present, request, typical)
        val suitable = healthy.filter { meetsLimits(it, work, typical, limits) }
        if (suitable.isEmpty() && limits.isReachable) return null
        val from = request.domain ?: domain
        val eligible = suitable.ifEmpty { healthy }
        return withoutSecondLarge(eligible, work)
            .minByOrNull { costMs(it, work, typical, from) * jitter() }
    }

    /** Leaves out servers that run one of the largest requests, if [work] is another and can. */
    private fun withoutSecondLarge(states: List<ServerState>, work: WorkEstimate) =
        if (states.none { it.isSecondLarge(work) }) {
            states
        } else {
            states.filter { !it.isSecondLarge(work) }.ifEmpty { states }
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
        var bestFirst = Double.MAX_VALUE
        var bestWhole = Double.MAX_VALUE
        for (state in healthy) {
            val first = safeFirstMs(state, work.promptTokens, typical)
            bestFirst = minOf(bestFirst, first)
            bestWhole = minOf(bestWhole, first + safeRestMs(state, work, typical))
        }
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
        val first = safeFirstMs(state, state.unreadTokens + work.promptTokens, typical)
        return first <= limits.firstMs &&
            first + safeRestMs(state, work, typical) <= limits.wholeMs
    }

    /**
     * Returns the usual time to the first event with [tokens] prompt tokens to be read, in
     * milliseconds.
     */
    private fun usualFirstMs(state: ServerState, tokens: Int, typical: TypicalSpeed): Double =
        ServerSpeed.FIXED_MS + tokens * (state.speed.prefillMs ?: typical.prefillMs)

    /** Returns the usual time from the first event to the end, in milliseconds. */
    private fun usualRestMs(state: ServerState, work: WorkEstimate, typical: TypicalSpeed): Double =
        work.outputTokens * (state.speed.tokenMs ?: typical.tokenMs)

    /** Returns the slower of the usual and the current time to the first event. */
    private fun safeFirstMs(state: ServerState, tokens: Int, typical: TypicalSpeed): Double {
        val usual = usualFirstMs(state, tokens, typical)
        return maxOf(usual, state.pace.expectedMs(usual))
    }

    /** Returns the slower of the usual and the current time from the first event to the end. */
    private fun safeRestMs(state: ServerState, work: WorkEstimate, typical: TypicalSpeed): Double =
        usualRestMs(state, work, typical) * maxOf(1.0, state.pace.lasting)

    private fun costMs(
        state: ServerState,
        work: WorkEstimate,
        typical: TypicalSpeed,
        from: FailureDomain
    ): Double {
        val distance = if (state.server.domain == from) 0.0 else CROSS_DOMAIN_MS
        val used = state.running.toDouble() / state.server.slots
        if (work.tokens == 0) {
            val call = state.pace.expectedMs(state.speed.callMs ?: typical.callMs)
            return call * (1 + used) + distance
        }
        val tokens = state.unreadTokens + work.promptTokens
        val first = state.pace.expectedMs(usualFirstMs(state, tokens, typical))
        val rest = usualRestMs(state, work, typical) * state.pace.lasting
        return first + rest * HOLD_WEIGHT + used * FULL_COST_MS + distance
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
