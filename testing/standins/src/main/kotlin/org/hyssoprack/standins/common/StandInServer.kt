package org.hyssoprack.standins.common

import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import org.hyssoprack.common.NetworkAddress

/** Builds the HTTP server of a stand-in process. */
object StandInServer {
    private const val IDLE_TIMEOUT_S = 600

    /** Returns a server for [address], not yet started. Port 0 binds a free port. */
    fun build(
        address: NetworkAddress,
        routes: Route.() -> Unit
    ): EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> = embeddedServer(
        factory = CIO,
        configure = {
            connectionIdleTimeoutSeconds = IDLE_TIMEOUT_S
            connector {
                host = address.ip
                port = address.port
            }
        }
    ) {
        routing { routes() }
    }
}
