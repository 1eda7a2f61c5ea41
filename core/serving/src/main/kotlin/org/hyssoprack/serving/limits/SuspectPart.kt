package org.hyssoprack.serving.limits

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId

/**
 * What is known of a part of prompts that may crash servers, as the slot owner tells the hosts and
 * the hosts tell a new owner.
 *
 * @property blockedAgeMs time since the part was blocked, in milliseconds before the sending; null
 *   if it is not.
 * @property trials number of requests let through since then.
 * @property isTrialDue whether the owner lets the next request through.
 * @property hasBegun whether responses to requests with the part began before.
 */
@Serializable
data class SuspectPart(
    @SerialName("n") val service: ServiceId,
    @SerialName("v") val version: String? = null,
    @SerialName("p") val part: PromptPartId,
    @SerialName("c") val crashes: List<SuspectCrash> = emptyList(),
    @SerialName("b") val blockedAgeMs: Long? = null,
    @SerialName("t") val trials: Int = 0,
    @SerialName("d") val isTrialDue: Boolean = false,
    @SerialName("h") val hasBegun: Boolean = false
)
