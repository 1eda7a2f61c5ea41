package org.hyssoprack.serving.placement

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What the use of a slot has shown of its server.
 *
 * @property streamTokens tokens of a whole stream from this server alone, made in [streamMs].
 * @property callMs time that a plain call took, in milliseconds.
 */
@Serializable
data class SlotResult(
    @SerialName("o") val outcome: SlotOutcome,
    @SerialName("t") val streamTokens: Int? = null,
    @SerialName("s") val streamMs: Long = 0,
    @SerialName("c") val callMs: Long? = null
)
