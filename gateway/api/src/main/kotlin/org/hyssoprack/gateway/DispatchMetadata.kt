package org.hyssoprack.gateway

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount

/**
 * What the system adds to a request on its way to a backend server.
 *
 * @property server the server that is meant; another one at its address refuses the request.
 * @property remainingMs time that is left for the answer.
 * @property lastEventId the last event that the caller has, where a stream goes on.
 */
data class DispatchMetadata(
    val server: BackendServerId,
    val account: ClientAccount?,
    val remainingMs: Long,
    val lastEventId: String? = null
)
