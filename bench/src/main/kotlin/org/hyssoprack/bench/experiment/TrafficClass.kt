package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable

/**
 * Requests of one kind, with exponential times between them.
 *
 * @property tier tier that the policy gives to these requests, for the report.
 * @property weight share of the offered requests, relative to the other classes.
 * @property prefixGroups number of prefixes shared among the requests; 0 for none.
 * @property prefixTokens length of each shared prefix.
 * @property deadlineMs sent as the caller's deadline, in milliseconds.
 */
@Serializable
data class TrafficClass(
    val name: String,
    val tier: String,
    val account: String,
    val lane: String? = null,
    val weight: Double,
    val prompt: Lengths,
    val answer: Lengths,
    val prefixGroups: Int = 0,
    val prefixTokens: Int = 0,
    val deadlineMs: Long,
    val bursts: List<Burst> = emptyList()
) {
    /** Factor on the rate at [atS] seconds after the begin of the counted time. */
    fun factor(atS: Double): Double = bursts.firstOrNull { atS >= it.fromS && atS < it.toS }
        ?.factor ?: 1.0
}
