package org.hyssoprack.backend.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import org.hyssoprack.store.BackendServer

/** Header names and the HTTP client that calls to backend servers share. */
internal object BackendHttp {
    const val REQUEST_ID = "X-Request-Id"

    /** Set to `false` by a backend server that answers with an error and did not run the call. */
    const val ADMITTED = "X-Admitted"
    private const val MAX_CONNECTIONS = 100_000

    /** URL of [path], which may hold a query, on [server]. */
    fun url(server: BackendServer, path: String): String {
        val ip = server.address.ip
        val host = if (':' in ip) "[$ip]" else ip
        return "http://$host:${server.address.port}$path"
    }

    /**
     * A client that opens a connection for each call and sends every call once: no retries, no
     * redirects, no pipelining.
     */
    fun client(connectTimeoutMs: Long): HttpClient = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            pipelining = false
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint {
                maxConnectionsPerRoute = MAX_CONNECTIONS
                connectTimeout = connectTimeoutMs
                connectAttempts = 1
            }
        }
    }
}
