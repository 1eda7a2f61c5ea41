package org.hyssoprack.bench.cost

import kotlinx.serialization.Serializable
import org.hyssoprack.bench.report.Percentiles

/**
 * Measurements of one request path. Times are in milliseconds.
 *
 * @property path path that the requests took, for example `direct` or `host`.
 * @property whole number of complete responses; for `direct` and `host`, those within the deadline.
 * @property cpuShare CPU usage of the measured process, in cores.
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
