package org.hyssoprack.bench.deployment

import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.serialization.json.Json
import org.hyssoprack.store.BackendServer

/** Stand-ins of the platform services, each in its own process. */
internal class PlatformStandIns(directory: Path, servers: List<BackendServer>) : AutoCloseable {
    private val addresses = FreePorts.addresses(count = 4)
    val tableService = addresses[0]
    val objectStore = addresses[1]
    val hostList = addresses[2]
    val weightStore = addresses[3]
    private val processes: List<ChildProcess>

    init {
        val file = directory.resolve("backend-servers.json")
        file.writeText(Json { encodeDefaults = true }.encodeToString(servers))
        processes = listOf(
            start(directory, "table", "table.TableMainKt", tableService),
            start(directory, "objects", "objects.ObjectsMainKt", objectStore),
            start(
                directory,
                "hostlist",
                "hostlist.HostListMainKt",
                hostList,
                listOf("--lag-ms", "1000", "--file", file.toString())
            ),
            start(directory, "weights", "weights.WeightsMainKt", weightStore)
        )
    }

    override fun close() = processes.forEach { it.kill() }

    private fun start(
        directory: Path,
        name: String,
        mainClass: String,
        address: String,
        extraArguments: List<String> = emptyList()
    ) = ChildProcess(
        name = name,
        mainClass = "org.hyssoprack.standins.$mainClass",
        arguments = listOf("--address", address) + extraArguments,
        heapMb = HEAP_MB,
        log = directory.resolve("$name.log"),
        light = true
    )

    private companion object {
        const val HEAP_MB = 48
    }
}
