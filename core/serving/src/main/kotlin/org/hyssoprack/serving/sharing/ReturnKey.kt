package org.hyssoprack.serving.sharing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.RouteName

/**
 * What is known of a caller that returns after a refusal, since its request id is new.
 *
 * @property route null from a host of an older build.
 */
@Serializable
data class ReturnKey(
    @SerialName("a") val account: ClientAccount? = null,
    @SerialName("u") val route: RouteName? = null,
    @SerialName("r") val rank: Int = 0
)
