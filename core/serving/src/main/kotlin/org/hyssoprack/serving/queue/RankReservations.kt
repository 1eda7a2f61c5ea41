package org.hyssoprack.serving.queue

import org.hyssoprack.serving.limits.SlidingWindowSum

/**
 * Determines which ranks temporarily go ahead of more urgent ones. In an overload the urgent ranks
 * alone could use every slot, so a less urgent rank keeps a reserved share of the slot time as long
 * as it is served less often than each more urgent one.
 */
internal class RankReservations {
    private val ranks = sortedMapOf<Int, RankUsage>()

    private class RankUsage {
        val requests = SlidingWindowSum(WINDOW_MS)
        val grants = SlidingWindowSum(WINDOW_MS)
        val slotMs = SlidingWindowSum(WINDOW_MS)

        fun servedShare(nowMs: Long): Double {
            val requested = requests.total(nowMs)
            return if (requested < 1) 1.0 else grants.total(nowMs) / requested
        }
    }

    /** Counts a request of [rank] for a slot. */
    fun recordRequest(rank: Int, nowMs: Long) = usageOf(rank).requests.add(nowMs, 1.0)

    /**
     * Records that a request of [rank] was granted a slot, which it is expected to hold for
     * [slotMs].
     */
    fun recordGrant(rank: Int, slotMs: Double, nowMs: Long) {
        usageOf(rank).grants.add(nowMs, 1.0)
        usageOf(rank).slotMs.add(nowMs, slotMs)
    }

    /**
     * Returns the ranks that have used less than their reserved share and are served less often
     * than each more urgent rank.
     */
    fun underservedRanks(nowMs: Long): List<Int> {
        val active = ranks.filterValues { it.requests.total(nowMs) >= 1 }
        if (active.size < 2) return emptyList()
        val allMs = active.values.sumOf { it.slotMs.total(nowMs) }
        val reservedMs = allMs * RESERVED_SHARE / (active.size - 1)
        var leastServed = active.values.first().servedShare(nowMs)
        return active.entries.drop(1).mapNotNull { (rank, usage) ->
            val served = usage.servedShare(nowMs)
            val isUnderserved = served < leastServed && usage.slotMs.total(nowMs) < reservedMs
            leastServed = minOf(leastServed, served)
            rank.takeIf { isUnderserved }
        }
    }

    private fun usageOf(rank: Int): RankUsage = ranks.getOrPut(rank) { RankUsage() }

    private companion object {
        // Long enough to contain some requests of each rank, shorter than a burst.
        const val WINDOW_MS = 2_000L

        // Share of the slot time that is reserved for all less urgent ranks together.
        const val RESERVED_SHARE = 0.15
    }
}
