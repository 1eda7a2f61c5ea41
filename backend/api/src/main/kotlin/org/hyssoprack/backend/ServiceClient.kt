package org.hyssoprack.backend

import arrow.core.Either
import org.hyssoprack.common.Failure
import org.hyssoprack.store.BackendServer

/** Calls to plain services. Implementations never send a call twice. */
interface ServiceClient {
    /**
     * Runs [call] on [server]. Fails with BACKEND_REFUSED only if no byte of the call was sent, and
     * with ANSWER_MISMATCHED if the response does not echo the request id.
     */
    suspend fun call(server: BackendServer, call: ServiceCall): Either<Failure, ServiceAnswer>

    /** Reads the load that the server reports; the figures lag behind. */
    suspend fun load(server: BackendServer): Either<Failure, LoadReport>
}
