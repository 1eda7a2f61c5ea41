package org.hyssoprack.integration.deployment

import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.faultproxy.ListenerFaults
import org.hyssoprack.faultproxy.ListenerSettings
import org.hyssoprack.faultproxy.ListenerState
import org.hyssoprack.faultproxy.ProxySettings

/** Controls the process of the fault proxy that connects all others. */
class ProxyUnderTest internal constructor(private val directory: Path, ports: PortPool) {
    private val control = ports.next()
    private var process: ChildProcess? = null

    internal fun start(listeners: List<ListenerSettings>, seed: Long) {
        val file = directory.resolve("proxy.json")
        file.writeText(Json.encodeToString(ProxySettings(listeners = listeners, seed = seed)))
        val started = ChildProcess.start(
            name = "proxy",
            mainClass = "org.hyssoprack.faultproxy.FaultProxyMainKt",
            args = listOf("--control", control, "--file", file.toString()),
            directory = directory,
            heapMb = HEAP_MB
        )
        process = started
        Http.awaitAnswer("http://$control/listeners", START_TIMEOUT_MS) { started.isAlive }
    }

    /** Replaces all faults of [listener]. */
    fun set(listener: String, faults: ListenerFaults) {
        val url = "http://$control/listeners/$listener/faults"
        Http.sendOrFail("PUT", url, Json.encodeToString(faults))
    }

    /** Closes the open connections of [listener]. */
    fun cut(listener: String) {
        Http.sendOrFail("POST", "http://$control/listeners/$listener/cut")
    }

    /** Permanently stops traffic on the open connections of [listener]; new ones are unaffected. */
    fun silence(listener: String) {
        Http.sendOrFail("POST", "http://$control/listeners/$listener/silence")
    }

    /** Clears the faults of all listeners. */
    fun clear() {
        Http.sendOrFail("POST", "http://$control/clear")
    }

    /** Returns the faults and counters of all listeners. */
    fun states(): List<ListenerState> =
        Json.decodeFromString(Http.sendOrFail("GET", "http://$control/listeners"))

    internal fun end() {
        process?.kill()
    }

    private companion object {
        const val HEAP_MB = 256
        const val START_TIMEOUT_MS = 30_000L
    }
}
