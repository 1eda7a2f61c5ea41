package org.hyssoprack.backend.http

import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.util.network.UnresolvedAddressException
import java.net.ConnectException
import java.net.NoRouteToHostException
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/** Maps an exception of the HTTP client to whether the call may have reached the server. */
internal object TransportFailure {
    /** BACKEND_REFUSED if no connection was established, else [otherwise]. */
    fun of(server: BackendServer, cause: Throwable, otherwise: ResultCode): Failure {
        if (neverConnected(cause)) {
            return Failure(
                code = ResultCode.BACKEND_REFUSED,
                detail = "Connecting to ${server.id} failed: ${cause.message}"
            )
        }
        return Failure(code = otherwise, detail = "The call to ${server.id} failed: $cause")
    }

    private fun neverConnected(cause: Throwable): Boolean = when (cause) {
        is ConnectTimeoutException, is ConnectException -> true
        is NoRouteToHostException, is UnresolvedAddressException -> true
        else -> false
    }
}
