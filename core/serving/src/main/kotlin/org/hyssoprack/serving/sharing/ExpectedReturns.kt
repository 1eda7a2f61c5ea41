package org.hyssoprack.serving.sharing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Refused callers that are expected to return at one time.
 *
 * @property inMs time from the moment of sending, in milliseconds; negative for callers that are
 *   late.
 */
@Serializable
data class ExpectedReturns(
    @SerialName("k") val key: ReturnKey,
    @SerialName("t") val inMs: Long,
    @SerialName("n") val count: Int = 1
)
