package org.hyssoprack.policy

import org.hyssoprack.common.ModelId
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.TierName

/**
 * A set of interchangeable backend servers: all engines with [model], or all servers of [service].
 *
 * @property headroom share of each server's slots, from 0 to 1, that is reserved for this tier and
 *   the tiers above it.
 * @property firstTokenTargetMs target for the time to the first token.
 * @property tokenTargetMs target for the time between two tokens.
 * @property preemptAfterMs wait after which a request preempts a running one of a lower tier.
 * @property queueLimit maximum number of requests in the queue of one host for this pool, per tier.
 * @property longShare maximum share of a server's slots, from 0 to 1, that long requests may hold.
 */
data class Pool(
    val name: PoolName,
    val model: ModelId? = null,
    val service: ServiceId? = null,
    val headroom: Map<TierName, Double> = emptyMap(),
    val firstTokenTargetMs: Long = 1_000,
    val tokenTargetMs: Long = 100,
    val preemptAfterMs: Long = 200,
    val queueLimit: Int = 1_000,
    val longShare: Double = 1.0,
    val routing: RoutingRule = RoutingRule.COST,
    val queueing: QueueRule = QueueRule.TIERED
)
