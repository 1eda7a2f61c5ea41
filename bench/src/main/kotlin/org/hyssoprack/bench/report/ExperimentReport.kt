package org.hyssoprack.bench.report

import kotlinx.serialization.Serializable

/** Results of all variants of an experiment. */
@Serializable
data class ExperimentReport(
    val experiment: String,
    val description: String,
    val seed: Long,
    val load: Double,
    val countedS: Int,
    val capacityRequestsPerS: Double,
    val capacityTokensPerS: Double,
    val variants: List<VariantReport>
)
