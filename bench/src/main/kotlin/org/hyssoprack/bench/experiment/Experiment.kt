package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable

/**
 * One experiment: a deployment, the requests sent to it, faults, and policies to compare.
 *
 * @property policy lines of the policy; `{routing}` and `{queueing}` stand for the variant's rules.
 * @property load requests offered, as a multiple of the fleet's capacity.
 * @property warmUpS time at the beginning that is not counted, in seconds.
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
