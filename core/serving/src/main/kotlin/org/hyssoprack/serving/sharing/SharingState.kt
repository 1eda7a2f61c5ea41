package org.hyssoprack.serving.sharing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ServiceId

/**
 * What the next slot owner needs to go on sharing the capacity of a service as this one does.
 *
 * @property leads slot time by which accounts are ahead of others, by rank, in milliseconds.
 * @property expected refused callers that were told to return.
 * @property ageMs time since the owner sent the state, in milliseconds.
 */
@Serializable
data class SharingState(
    @SerialName("s") val service: ServiceId,
    @SerialName("l") val leads: Map<Int, Map<ClientAccount, Double>> = emptyMap(),
    @SerialName("e") val expected: List<ExpectedReturns> = emptyList(),
    @SerialName("b") val ageMs: Long = 0
) {
    /** Returns the state [elapsedMs] later. */
    fun after(elapsedMs: Long) = copy(
        expected = expected.map { it.copy(inMs = it.inMs - elapsedMs) },
        ageMs = ageMs + elapsedMs
    )
}
