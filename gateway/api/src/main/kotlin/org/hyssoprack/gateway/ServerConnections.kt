package org.hyssoprack.gateway

import arrow.core.Either
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress

/** Opens connections to servers and keeps idle ones. */
interface ServerConnections {
    /**
     * Returns an idle connection to [address] that is not one of [except], or a new one. Fails with
     * BACKEND_REFUSED if none can be opened; nothing has been sent in that case.
     */
    suspend fun open(
        address: NetworkAddress,
        connectTimeoutMs: Int,
        except: Set<ServerConnection> = emptySet()
    ): Either<Failure, ServerConnection>

    /** Closes the idle connections to [address]. */
    fun forget(address: NetworkAddress)
}
