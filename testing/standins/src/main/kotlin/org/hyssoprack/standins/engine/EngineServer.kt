package org.hyssoprack.standins.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.standins.common.StandInServer

/** An emulated engine with its HTTP server; runs as a separate process or inside a test. */
class EngineServer(settings: EngineSettings, log: EventLog = NoOpEventLog) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob())
    private val core = EngineCore(settings = settings, log = log)
    private val faultInjector = EngineFaultInjector(core)
    private val ip = settings.address.substringBeforeLast(':')
    private val server = StandInServer.build(
        NetworkAddress(ip = ip, port = settings.address.substringAfterLast(':').toInt())
    ) {
        CompletionRoutes(core = core, faults = faultInjector).install(this)
        EngineRoutes(core = core, faults = faultInjector).install(this)
    }

    /** Starts the engine and returns its listen address. */
    fun start(): NetworkAddress {
        core.start(scope)
        server.start(wait = false)
        val port = runBlocking { server.engine.resolvedConnectors().first().port }
        return NetworkAddress(ip = ip, port = port)
    }

    /** Replaces all faults. */
    fun setFaults(faults: EngineFaults) = faultInjector.set(faults)

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)
        scope.cancel()
    }

    private companion object {
        const val STOP_TIMEOUT_MS = 500L
    }
}
