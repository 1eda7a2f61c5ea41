package org.hyssoprack.serving.fleet

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.NetworkAddress

/**
 * One run of a backend server, from its start to its end.
 *
 * @property bornMs time of its start in milliseconds since the epoch; null if it does not say.
 */
@Serializable
data class ServerInstance(
    val id: BackendServerId,
    val address: NetworkAddress,
    val bornMs: Long? = null
)
