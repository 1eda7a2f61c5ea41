package org.hyssoprack.bench.report

import kotlinx.serialization.Serializable
import org.hyssoprack.bench.load.RequestOutcome

/** What the callers of one tier saw. Times are in milliseconds. */
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
    /** Requests answered whole and in time. */
    val good: Int get() = outcomes[RequestOutcome.GOOD] ?: 0

    /** Share of the offered requests answered whole and in time. */
    val goodShare: Double get() = if (offered == 0) 0.0 else good.toDouble() / offered
}
