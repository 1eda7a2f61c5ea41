package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable

/**
 * A class of requests that arrive with exponentially distributed gaps.
 *
 * @property tier tier that the policy assigns to these requests; used in the report.
 * @property weight share of the offered requests, relative to the other classes.
 * @property prefixGroups number of prefixes shared among the requests; 0 for none.
 * @property prefixTokens length of each shared prefix.
 * @property deadlineMs deadline that the caller sends, in milliseconds.
 */
@Serializable
data class TrafficClass(
    val name: String,
    val tier: String,
    val account: String,
    val lane: String? = null,
    val weight: Double,
    val prompt: LengthDistribution,
    val answer: LengthDistribution,
    val prefixGroups: Int = 0,
    val prefixTokens: Int = 0,
    val deadlineMs: Long,
    val bursts: List<Burst> = emptyList()
) {
    /** Returns the rate factor at [atS] seconds after the start of the counted time. */
    fun factor(atS: Double): Double = bursts.firstOrNull { atS >= it.fromS && atS < it.toS }
        ?.factor ?: 1.0
}
