package org.hyssoprack.bench.deployment

import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.serialization.json.Json
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.standins.engine.EngineSettings
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind

/** Emulated engines, each in its own process. */
internal class EngineFleet(private val directory: Path, engines: List<EngineSettings>) :
    AutoCloseable {
    private val settings = engines.zip(FreePorts.addresses(engines.size)) { engine, address ->
        engine.copy(address = address)
    }

    /** Backend server entries of the engines, spread over the failure domains. */
    val servers: List<BackendServer> = settings.mapIndexed { index, engine ->
        BackendServer(
            id = engine.id,
            kind = BackendServerKind.ENGINE,
            address = checkNotNull(NetworkAddress.parse(engine.address)),
            domain = FailureDomain("d${index % DOMAINS + 1}"),
            generation = engine.generation,
            model = engine.model,
            slots = engine.slots,
            canSuspend = engine.canSuspend,
            checksFencing = engine.checksFencing
        )
    }
    val processes: List<ChildProcess> = settings.map(::start)

    override fun close() = processes.forEach { it.kill() }

    private fun start(engine: EngineSettings): ChildProcess {
        val file = directory.resolve("${engine.id}.json")
        file.writeText(Json { encodeDefaults = true }.encodeToString(engine))
        return ChildProcess(
            name = engine.id.value,
            mainClass = "org.hyssoprack.standins.engine.EngineMainKt",
            arguments = listOf("--settings", file.toString()),
            heapMb = HEAP_MB,
            log = directory.resolve("${engine.id}.log"),
            light = true
        )
    }

    companion object {
        const val DOMAINS = 3
        private const val HEAP_MB = 96
    }
}
