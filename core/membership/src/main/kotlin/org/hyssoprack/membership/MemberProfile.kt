package org.hyssoprack.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Region

/** Attributes of a host that do not change during one run. */
@Serializable
data class MemberProfile(
    @SerialName("a") val linkAddress: NetworkAddress,
    @SerialName("c") val callerAddress: NetworkAddress,
    @SerialName("f") val domain: FailureDomain,
    @SerialName("g") val region: Region,
    @SerialName("p") val capacity: Int = 0
)
