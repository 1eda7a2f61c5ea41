package org.hyssoprack.serving.placement

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Result of using a slot, by which the server's health and speed are updated.
 *
 * @property streamTokens tokens of a complete stream that this server alone generated, in
 *   [streamMs].
 * @property callMs time that a plain call took, in milliseconds.
 * @property pauseMs longest pause between two events of a stream, in milliseconds.
 * @property isUnlimited whether the server named no rate limit, though it has or had one.
 * @property streamEvents number of events of the stream of [streamTokens], whose number of tokens
 *   is an estimate.
 * @property isConnectionLost whether the server ended the connection before its response.
 * @property pacePercent pace that the server has just reported, unless it was passed on before.
 */
@Serializable
data class SlotResult(
    @SerialName("o") val outcome: SlotOutcome,
    @SerialName("t") val streamTokens: Int? = null,
    @SerialName("s") val streamMs: Long = 0,
    @SerialName("c") val callMs: Long? = null,
    @SerialName("u") val isUnlimited: Boolean = false,
    @SerialName("v") val streamEvents: Int? = null,
    @SerialName("l") val isConnectionLost: Boolean = false,
    @SerialName("p") val pacePercent: Int? = null,
    @SerialName("w") val pauseMs: Long? = null
)
