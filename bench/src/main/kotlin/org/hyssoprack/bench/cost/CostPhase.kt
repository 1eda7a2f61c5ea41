package org.hyssoprack.bench.cost

import kotlinx.serialization.Serializable
import org.hyssoprack.bench.report.Percentiles

/**
 * What was measured while one kind of path was in use. Times are in milliseconds.
 *
 * @property cpuShare processor time of the measured process, in cores.
 */
@Serializable
data class CostPhase(
    val path: String,
    val requests: Int,
    val whole: Int,
    val tokensPerS: Double,
    val firstToken: Percentiles,
    val betweenTokens: Percentiles,
    val cpuShare: Double
)
