package org.hyssoprack.rollout

import org.hyssoprack.common.Clock

/**
 * Sequential test of a new version against the old one that runs beside it, overall and by route.
 * Only responses of the same time and route are compared, so that load, or a fault of both versions,
 * does not speak against the new one. Several windows, from the last few responses to all, let it
 * detect a version that becomes bad later as fast as one that is bad at once.
 *
 * @param earlier counts of responses by route that a former decider compared.
 */
class VersionComparison(
    private val clock: Clock,
    earlier: Map<String, ResponseCounts> = emptyMap()
) {
    private val routes = HashMap<String, RouteResponses>()
    private val newMs = ArrayDeque<Long>()

    init {
        earlier.forEach { (route, counts) -> routes[route] = RouteResponses(counts) }
    }

    /** Strength of the evidence against the new version; it is bad from [DECISIVE] on. */
    var evidence = evidenceOf(counts)
        private set

    /** Highest [evidence] so far. */
    var peak = evidence
        private set

    /** Counts of all responses by route. */
    val counts: Map<String, ResponseCounts> get() = routes.mapValues { it.value.counts }

    /** Counts of all responses. */
    val total: ResponseCounts
        get() = routes.values.fold(ResponseCounts()) { sum, route -> sum + route.counts }

    /** Whether the new version is bad. */
    val isBad: Boolean get() = evidence >= DECISIVE

    /**
     * Whether responses speak against the new version, or did so before: a version that is bad under
     * load only gives good responses between.
     */
    val isSuspicious: Boolean get() = evidence >= SUSPICIOUS || peak >= SUSPICIOUS_PEAK

    /** Whether there are enough responses on all routes with traffic to accept the new version. */
    val isEnough: Boolean
        get() {
            val all = total
            if (all.new < MIN_RESPONSES) return false
            return counts.values.filter { it.old >= all.old * ROUTE_SHARE }
                .all { it.new >= MIN_ROUTE_RESPONSES }
        }

    /** Records a response. */
    fun record(response: VersionResponse) {
        val nowMs = clock.nowMs()
        routes.getOrPut(response.key) { RouteResponses() }.record(response, nowMs)
            ?: return
        if (!response.isNew) return
        newMs.addLast(nowMs)
        if (newMs.size > MAX_WINDOW) newMs.removeFirst()
        evidence = maxOf(evidenceOf(counts), windowStarts().maxOf { evidenceSince(it) })
        peak = maxOf(peak, evidence)
    }

    private fun windowStarts(): List<Long> =
        WINDOWS.filter { it <= newMs.size }.map { newMs[newMs.size - it] }.ifEmpty {
            listOf(newMs.first())
        }

    private fun evidenceSince(ms: Long) = evidenceOf(routes.mapValues { it.value.countsSince(ms) })

    private fun evidenceOf(counts: Map<String, ResponseCounts>): Double {
        val used = counts.values.filter { it.new > 0 }
        val new = used.sumOf { it.new }
        if (new == 0) return 0.0
        val expected = used.sumOf { it.new * it.expectedBadShare } / new
        val overall = evidence(new, used.sumOf { it.newBad }, expected)
        return maxOf(
            overall,
            used.maxOf { evidence(it.new, it.newBad, it.expectedBadShare) }
        )
    }

    private fun evidence(count: Int, bad: Int, expected: Double): Double =
        if (bad < MIN_BAD) 0.0 else ResponseCounts.evidence(count, bad, expected)

    companion object {
        /**
         * Evidence from which a version is bad, as a natural logarithm of a likelihood ratio. A
         * quarter of bad responses reaches it after about 30, a good version hardly ever.
         */
        const val DECISIVE = 8.0

        // In 400 simulated roll-outs, 95% of the good versions stay below 3.2 at all times, and 95%
        // of those that are bad under load reach 6.9.
        private const val SUSPICIOUS = 3.0
        private const val SUSPICIOUS_PEAK = 6.5

        // One server that crashes, or one request that fails everywhere, is not the version's fault.
        private const val MIN_BAD = 4
        private const val MIN_RESPONSES = 40
        private const val MIN_ROUTE_RESPONSES = 6
        private const val ROUTE_SHARE = 0.05
        private const val MAX_WINDOW = 256
        private val WINDOWS = listOf(8, 16, 32, 64, 128, 256)
    }
}
