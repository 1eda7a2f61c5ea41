package org.hyssoprack.serving.limits

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.serving.fleet.ServerInstance

/**
 * The crash of a backend server that held a request with a suspected part.
 *
 * @property ageMs time since the crash, in milliseconds before the sending.
 * @property explainedBy blocked part that the server held as well, if any.
 * @property isTogether whether one request had both parts.
 */
@Serializable
data class SuspectCrash(
    @SerialName("s") val server: ServerInstance,
    @SerialName("a") val ageMs: Long = 0,
    @SerialName("e") val explainedBy: PromptPartId? = null,
    @SerialName("t") val isTogether: Boolean = false
)
