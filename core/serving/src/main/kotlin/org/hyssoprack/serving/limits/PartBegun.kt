package org.hyssoprack.serving.limits

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId

/**
 * The last first event of a response to a request with a suspected part, as hosts tell the slot
 * owner.
 *
 * @property ageMs time since the first event, in milliseconds before the sending.
 */
@Serializable
data class PartBegun(
    @SerialName("n") val service: ServiceId,
    @SerialName("v") val version: String? = null,
    @SerialName("p") val part: PromptPartId,
    @SerialName("a") val ageMs: Long = 0
)
