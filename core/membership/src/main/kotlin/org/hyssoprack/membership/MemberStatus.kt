package org.hyssoprack.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion

/**
 * Status of the sender, included in every membership message.
 *
 * @property refutation counter that the sender increments to override a suspicion of itself.
 * @property load share of its request capacity in use, in percent.
 * @property bundle bundle version that the sender has in force.
 */
@Serializable
data class MemberStatus(
    @SerialName("r") val refutation: Int = 0,
    @SerialName("q") val leaving: Boolean = false,
    @SerialName("l") val load: Int = 0,
    @SerialName("b") val bundle: BundleVersion = BundleVersion.NONE
)
