package org.hyssoprack.scheduling

import kotlin.math.ceil
import kotlin.math.roundToInt
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.QueueRule
import org.hyssoprack.policy.Tier

/** Limits that the policy of a pool sets for the slots of each tier and of long requests. */
internal class SlotShares(private val pool: Pool, tiers: List<Tier>) {
    private val headroom: Map<TierRank, Double> =
        tiers.mapNotNull { tier -> pool.headroom[tier.name]?.let { tier.rank to it } }.toMap()

    /** Returns how many of [limit] slots [tier] and the tiers below it may hold; at least one. */
    fun capOf(tier: TierRank, limit: Int): Int {
        if (pool.queueing == QueueRule.ARRIVAL) return limit
        val reserved = headroom.filterKeys { it.isAbove(tier) }.values.sum()
        val cap = limit - (limit * reserved).roundToInt()
        return cap.coerceIn(minOf(1, limit), limit)
    }

    /** Returns how many of [limit] slots long requests may hold; at least one. */
    fun longCap(limit: Int): Int {
        val cap = ceil(limit * pool.longShare - ROUNDING).toInt()
        return cap.coerceIn(minOf(1, limit), limit)
    }

    private companion object {
        const val ROUNDING = 1e-9
    }
}
