package org.hyssoprack.gateway

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount

/**
 * Metadata that the host adds to a request that it sends to a backend server.
 *
 * @property server the intended server; a different one at its address rejects the request.
 * @property remainingMs time left for the response, in milliseconds.
 * @property lastEventId id of the last event that the caller has received, if a stream is resumed.
 */
data class DispatchMetadata(
    val server: BackendServerId,
    val account: ClientAccount?,
    val remainingMs: Long,
    val lastEventId: String? = null
)
