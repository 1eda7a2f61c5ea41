package org.hyssoprack.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.BundleVersion

/**
 * What a host says of itself with every message.
 *
 * @property refutation counter by which it overrules suspicions of itself.
 * @property load share of its request capacity in use, in percent.
 * @property bundle version that it has in force.
 */
@Serializable
data class MemberStatus(
    @SerialName("r") val refutation: Int = 0,
    @SerialName("q") val leaving: Boolean = false,
    @SerialName("l") val load: Int = 0,
    @SerialName("b") val bundle: BundleVersion = BundleVersion.NONE
)
