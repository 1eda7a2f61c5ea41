package org.hyssoprack.gateway.forwarding.slots

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.placement.WorkEstimate

/**
 * A request in progress at a backend server, as its host reports it.
 *
 * @property number number of the request for the slot.
 * @property isPromptRead whether its first event has arrived.
 * @property endMs time until its complete response is due, in milliseconds from the sending of the
 *   report.
 */
@Serializable
data class RunningSlot(
    @SerialName("n") val number: Long,
    @SerialName("s") val service: ServiceId,
    @SerialName("b") val server: BackendServerId,
    @SerialName("p") val promptTokens: Int = 0,
    @SerialName("o") val outputTokens: Int = 0,
    @SerialName("f") val isPromptRead: Boolean = false,
    @SerialName("e") val endMs: Long
) {
    val work: WorkEstimate get() = WorkEstimate(
        promptTokens = promptTokens,
        outputTokens = outputTokens
    )
}
