package org.hyssoprack.bench.deployment

import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.hyssoprack.bench.load.AccountKeys

/** Entry hosts, each in its own daemon process. */
internal class HostFleet(
    private val directory: Path,
    private val platform: PlatformStandIns,
    count: Int
) : AutoCloseable {
    private val links = FreePorts.addresses(count)
    val callers: List<String> = FreePorts.addresses(count)
    val operators: List<String> = FreePorts.addresses(count)
    val processes: List<ChildProcess> = (0 until count).map(::start)

    override fun close() = processes.forEach { it.kill() }

    private fun start(index: Int): ChildProcess {
        val name = "h${index + 1}"
        val file = directory.resolve("$name.json")
        file.writeText(settings(index, name))
        return ChildProcess(
            name = name,
            mainClass = "org.hyssoprack.daemon.DaemonMainKt",
            arguments = listOf("--settings", file.toString()),
            heapMb = HEAP_MB,
            log = directory.resolve("$name.log")
        )
    }

    private fun settings(index: Int, name: String): String = buildJsonObject {
        put("host", name)
        put("domain", "d${index % EngineFleet.DOMAINS + 1}")
        put("region", "r1")
        put("link", links[index])
        put("callers", callers[index])
        put("operators", operators[index])
        put("tableService", platform.tableService)
        put("objectStore", platform.objectStore)
        put("hostList", platform.hostList)
        put("weightStore", platform.weightStore)
        putJsonArray("peers") { links.filterIndexed { i, _ -> i != index }.forEach { add(it) } }
        putJsonArray("operatorKeys") {
            OPERATORS.forEach {
                addJsonObject {
                    put("name", it)
                    put("keyHash", AccountKeys.hash(it))
                }
            }
        }
    }.toString()

    companion object {
        /** Operator that proposes and accepts bundles, and operator that signs them off. */
        val OPERATORS = listOf("operator-a", "operator-b")
        private const val HEAP_MB = 256
    }
}
