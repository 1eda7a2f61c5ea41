package org.hyssoprack.gateway

import arrow.core.Either
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress

/** Opens connections to servers and keeps idle ones. */
interface ServerConnections {
    /**
     * Returns an idle connection to [address] that has not carried a request with [requestId], or a
     * new one. Fails with BACKEND_REFUSED if none can be opened; nothing has been sent in that case.
     *
     * @param requestId id of the request to be sent; null if its response will bear none.
     */
    suspend fun open(
        address: NetworkAddress,
        connectTimeoutMs: Int,
        requestId: String?
    ): Either<Failure, ServerConnection>

    /** Closes the idle connections to [address]. */
    fun forget(address: NetworkAddress)
}
