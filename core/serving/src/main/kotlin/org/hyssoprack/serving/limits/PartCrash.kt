package org.hyssoprack.serving.limits

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.ServerInstance

/**
 * The end of a connection to a backend server before the first event of one request's response, as
 * hosts tell the slot owner.
 *
 * @property version version of the server's software; null if it is not known.
 * @property parts parts of the request's prompt that others may share, in the order of the prompt.
 * @property ageMs time since the connection ended, in milliseconds before the sending.
 */
@Serializable
data class PartCrash(
    @SerialName("n") val service: ServiceId,
    @SerialName("s") val server: ServerInstance,
    @SerialName("v") val version: String? = null,
    @SerialName("p") val parts: List<PromptPartId> = emptyList(),
    @SerialName("a") val ageMs: Long = 0
)
