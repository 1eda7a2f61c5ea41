package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable

/**
 * Definition of an experiment: a deployment, its load, its faults and the variants to compare.
 *
 * @property policy lines of the policy; `{routing}` and `{queueing}` are replaced by each variant.
 * @property load offered request rate, as a multiple of the fleet capacity.
 * @property warmUpS initial time that is excluded from the results, in seconds.
 * @property durationS counted time, in seconds.
 * @property topTier name of the highest tier.
 */
@Serializable
data class Experiment(
    val name: String,
    val description: String,
    val seed: Long = 1,
    val hosts: Int = 3,
    val load: Double = 0.7,
    val warmUpS: Int = 5,
    val durationS: Int = 30,
    val topTier: String,
    val policy: List<String>,
    val engines: List<EngineGroup>,
    val classes: List<TrafficClass>,
    val variants: List<Variant>,
    val faults: List<FaultStep> = emptyList()
)
