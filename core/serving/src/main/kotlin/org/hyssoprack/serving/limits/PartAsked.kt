package org.hyssoprack.serving.limits

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId

/**
 * The last request with a blocked part, as hosts tell the slot owner.
 *
 * @property ageMs time since the request, in milliseconds before the sending.
 */
@Serializable
data class PartAsked(
    @SerialName("n") val service: ServiceId,
    @SerialName("p") val part: PromptPartId,
    @SerialName("a") val ageMs: Long = 0
)
