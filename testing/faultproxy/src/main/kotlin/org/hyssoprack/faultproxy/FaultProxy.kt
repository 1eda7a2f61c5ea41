package org.hyssoprack.faultproxy

import io.ktor.network.selector.SelectorManager
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.hyssoprack.common.NetworkAddress

/** TCP proxy that injects faults between processes; its HTTP control server is on [control]. */
class FaultProxy(settings: ProxySettings, private val control: NetworkAddress) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val listeners = settings.listeners.associate { it.name to listener(it, settings.seed) }
    private val server = embeddedServer(CIO, host = control.ip, port = control.port) {
        routing { ControlRoutes(listeners).install(this) }
    }

    /** Opens all listeners and the control server. */
    suspend fun start() {
        listeners.values.forEach { it.set(ListenerFaults()) }
        server.start(wait = false)
    }

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 0)
        scope.cancel()
        selector.close()
    }

    private fun listener(settings: ListenerSettings, seed: Long) = ProxyListener(
        name = settings.name,
        listen = address(settings.listen),
        target = address(settings.target),
        seed = seed + settings.name.hashCode(),
        selector = selector,
        scope = scope
    )

    private fun address(text: String): NetworkAddress =
        requireNotNull(NetworkAddress.parse(text)) { "listener address must be ip:port, got $text" }
}
