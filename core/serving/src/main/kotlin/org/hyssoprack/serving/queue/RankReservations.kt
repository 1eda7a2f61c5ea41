package org.hyssoprack.serving.queue

import org.hyssoprack.serving.limits.SlidingWindowSum

/**
 * Tells which ranks go ahead of more urgent ones for a time. Answers an overload in which the urgent
 * ranks alone could take every slot: a less urgent rank keeps a reserved share of the slot time, as
 * long as it is served less often than each more urgent one.
 */
internal class RankReservations {
    private val ranks = sortedMapOf<Int, RankUsage>()

    private class RankUsage {
        val asks = SlidingWindowSum(WINDOW_MS)
        val grants = SlidingWindowSum(WINDOW_MS)
        val slotMs = SlidingWindowSum(WINDOW_MS)

        fun servedShare(nowMs: Long): Double {
            val asked = asks.total(nowMs)
            return if (asked < 1) 1.0 else grants.total(nowMs) / asked
        }
    }

    /** A request of [rank] asks for a slot. */
    fun asked(rank: Int, nowMs: Long) = use(rank).asks.add(nowMs, 1.0)

    /** A request of [rank] gets a slot that it is expected to hold for [slotMs]. */
    fun granted(rank: Int, slotMs: Double, nowMs: Long) {
        use(rank).grants.add(nowMs, 1.0)
        use(rank).slotMs.add(nowMs, slotMs)
    }

    /** Ranks that have used less than their reserved share and are served less often than others. */
    fun underservedRanks(nowMs: Long): List<Int> {
        val active = ranks.filterValues { it.asks.total(nowMs) >= 1 }
        if (active.size < 2) return emptyList()
        val allMs = active.values.sumOf { it.slotMs.total(nowMs) }
        val reservedMs = allMs * RESERVED_SHARE / (active.size - 1)
        var leastServed = active.values.first().servedShare(nowMs)
        return active.entries.drop(1).mapNotNull { (rank, use) ->
            val served = use.servedShare(nowMs)
            val isOwed = served < leastServed && use.slotMs.total(nowMs) < reservedMs
            leastServed = minOf(leastServed, served)
            rank.takeIf { isOwed }
        }
    }

    private fun use(rank: Int): RankUsage = ranks.getOrPut(rank) { RankUsage() }

    private companion object {
        // Long enough to see some requests of each rank, shorter than a burst.
        const val WINDOW_MS = 2_000L

        // Part of the slot time that all less urgent ranks share.
        const val RESERVED_SHARE = 0.15
    }
}
