package org.hyssoprack.integration.deployment

import java.nio.file.Path
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId
import org.hyssoprack.faultproxy.ListenerSettings
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.service.ServiceFaults
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind
import org.hyssoprack.store.BackendServerState

/** Emulated engines (`e1`…) and plain services (`s1`…), each a process behind the fault proxy. */
class BackendsUnderTest internal constructor(
    private val directory: Path,
    private val settings: DeploymentSettings,
    ports: PortPool
) {
    val engineNames: List<String> = List(settings.engines) { "e${it + 1}" }
    val serviceNames: List<String> = List(settings.services) { "s${it + 1}" }
    val names: List<String> = engineNames + serviceNames
    private val directAddresses = names.associateWith { ports.next() }
    private val proxiedAddresses = names.associateWith { ports.next() }
    private val processes = HashMap<String, ChildProcess>()
    private val leaving = HashSet<String>()

    /** Log files of all backend servers. */
    val logs: List<Path> get() = names.map { directory.resolve("$it.log") }

    internal fun listeners() = names.map {
        ListenerSettings(
            name = it,
            listen = proxiedAddresses.getValue(it),
            target = directAddresses.getValue(it)
        )
    }

    /** Returns the current host list entries of all backend servers. */
    internal fun servers(): List<BackendServer> = names.map(::server)

    internal fun start() {
        names.forEach(::launch)
        names.forEach(::awaitReady)
    }

    /** Kills the process of the backend server [name] with SIGKILL. */
    fun kill(name: String) = processes.getValue(name).kill()

    fun pause(name: String) = processes.getValue(name).pause()

    fun resume(name: String) = processes.getValue(name).resume()

    /** Starts a killed backend server again and waits until it answers. */
    fun restart(name: String) {
        launch(name)
        awaitReady(name)
    }

    fun setEngineFaults(name: String, faults: EngineFaults) =
        post(name, Json.encodeToString(faults))

    fun setServiceFaults(name: String, faults: ServiceFaults) =
        post(name, Json.encodeToString(faults))

    internal fun setLeaving(name: String, isLeaving: Boolean) {
        if (isLeaving) leaving.add(name) else leaving.remove(name)
    }

    internal fun end() = processes.values.forEach { it.kill() }

    private fun launch(name: String) {
        val isEngine = name in engineNames
        val args = mutableListOf("--address", directAddresses.getValue(name), "--id", name)
        args += if (isEngine) engineArgs() else serviceArgs()
        processes[name] = ChildProcess.start(
            name = name,
            mainClass = "org.hyssoprack.standins." +
                if (isEngine) "engine.EngineMainKt" else "service.ServiceMainKt",
            args = args,
            directory = directory,
            heapMb = HEAP_MB
        )
    }

    private fun engineArgs() = listOf(
        "--model",
        MODEL,
        "--slots",
        settings.engineSlots.toString(),
        "--token-ms",
        settings.tokenMs.toString(),
        "--can-suspend"
    )

    private fun serviceArgs() = listOf("--latency-ms", settings.serviceLatencyMs.toString())

    private fun awaitReady(name: String) {
        val url = "http://${directAddresses.getValue(name)}/load"
        Http.awaitAnswer(url, START_TIMEOUT_MS) { processes.getValue(name).isAlive }
    }

    private fun post(name: String, body: String) {
        Http.sendOrFail("POST", "http://${directAddresses.getValue(name)}/faults", body)
    }

    private fun server(name: String): BackendServer {
        val isEngine = name in engineNames
        return BackendServer(
            id = BackendServerId(name),
            kind = if (isEngine) BackendServerKind.ENGINE else BackendServerKind.SERVICE,
            address = checkNotNull(NetworkAddress.parse(proxiedAddresses.getValue(name))),
            domain = FailureDomain("d${1 + names.indexOf(name) % DOMAINS}"),
            state = if (name in leaving) BackendServerState.LEAVING else BackendServerState.LIVE,
            model = if (isEngine) ModelId(MODEL) else null,
            service = if (isEngine) null else ServiceId(SERVICE),
            slots = settings.engineSlots,
            canSuspend = isEngine
        )
    }

    companion object {
        const val MODEL = "m"
        const val SERVICE = "portal"
        internal const val DOMAINS = 3
        private const val HEAP_MB = 96
        private const val START_TIMEOUT_MS = 30_000L
    }
}
