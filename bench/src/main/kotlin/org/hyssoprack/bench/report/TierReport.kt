package org.hyssoprack.bench.report

import kotlinx.serialization.Serializable
import org.hyssoprack.bench.load.RequestOutcome

/** Results of one tier as seen by its callers. Times are in milliseconds. */
@Serializable
data class TierReport(
    val tier: String,
    val offered: Int,
    val outcomes: Map<RequestOutcome, Int>,
    val firstToken: Percentiles,
    val betweenTokens: Percentiles,
    val goodTokens: Long,
    val resultCodes: Map<Int, Int>
) {
    /** Number of requests with a complete response within the deadline. */
    val good: Int get() = outcomes[RequestOutcome.GOOD] ?: 0

    /** Share of the offered requests with a complete response within the deadline. */
    val goodShare: Double get() = if (offered == 0) 0.0 else good.toDouble() / offered
}
