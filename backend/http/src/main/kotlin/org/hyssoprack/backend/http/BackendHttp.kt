package org.hyssoprack.backend.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import org.hyssoprack.store.BackendServer

/** Header names and HTTP client for calls to backend servers. */
internal object BackendHttp {
    const val REQUEST_ID = "X-Request-Id"

    /** Set to `false` by a backend server on an error response if it did not run the call. */
    const val ADMITTED = "X-Admitted"
    private const val MAX_CONNECTIONS = 100_000

    /** URL of [path], which may contain a query, on [server]. */
    fun url(server: BackendServer, path: String): String {
        val ip = server.address.ip
        val host = if (':' in ip) "[$ip]" else ip
        return "http://$host:${server.address.port}$path"
    }

    /**
     * Creates a client that opens a connection per call and sends each call once: no retries, no
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
