package org.hyssoprack.serving.fleet

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.NetworkAddress

/**
 * Identifies one process of a backend server, from its start to its end.
 *
 * @property bornMs start time in milliseconds since the epoch; null if the server does not report
 *   it.
 */
@Serializable
data class ServerInstance(
    val id: BackendServerId,
    val address: NetworkAddress,
    val bornMs: Long? = null
)
