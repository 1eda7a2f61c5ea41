package org.hyssoprack.serving.limits

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a host tells the slot owner, or the other hosts while there is none, about parts of prompts
 * that may crash servers.
 *
 * @property crashes crashes that the owner may not know.
 * @property begun first events that clear parts which the owner suspects.
 * @property asked blocked parts of requests that came to the host.
 * @property suspects all that the host knows; only in the first report to an owner.
 */
@Serializable
data class PartReport(
    @SerialName("c") val crashes: List<PartCrash> = emptyList(),
    @SerialName("b") val begun: List<PartBegun> = emptyList(),
    @SerialName("a") val asked: List<PartAsked> = emptyList(),
    @SerialName("s") val suspects: List<SuspectPart> = emptyList()
) {
    val isEmpty: Boolean
        get() = crashes.isEmpty() && begun.isEmpty() && asked.isEmpty() && suspects.isEmpty()
}
