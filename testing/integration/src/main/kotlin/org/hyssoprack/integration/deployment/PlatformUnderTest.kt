package org.hyssoprack.integration.deployment

import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.standins.hostlist.HostListFaults
import org.hyssoprack.standins.objects.ObjectFaults
import org.hyssoprack.standins.table.TableFaults
import org.hyssoprack.standins.table.WriteRecord
import org.hyssoprack.standins.weights.WeightFaults
import org.hyssoprack.store.BackendServer

/** Stand-ins for the four platform services, each in its own process. */
class PlatformUnderTest internal constructor(
    private val directory: Path,
    private val lagMs: Int,
    ports: PortPool
) {
    val table: String = ports.next()
    val objects: String = ports.next()
    val hostList: String = ports.next()
    val weights: String = ports.next()
    private val processes = ArrayList<ChildProcess>()

    /** Starts the stand-ins with [servers] as the host list and waits until they answer. */
    internal fun start(servers: List<BackendServer>) {
        val file = directory.resolve("servers.json")
        file.writeText(Json.encodeToString(servers))
        launch("table", "table.TableMainKt", table)
        launch("objects", "objects.ObjectsMainKt", objects)
        launch("weights", "weights.WeightsMainKt", weights)
        val listArgs = arrayOf("--lag-ms", lagMs.toString(), "--file", file.toString())
        launch("hostlist", "hostlist.HostListMainKt", hostList, *listArgs)
        listOf(table, objects, hostList, weights).zip(processes).forEach { (address, process) ->
            Http.awaitAnswer("http://$address/", START_TIMEOUT_MS) { process.isAlive }
        }
    }

    fun setTableFaults(faults: TableFaults) = post(table, Json.encodeToString(faults))

    fun setObjectFaults(faults: ObjectFaults) = post(objects, Json.encodeToString(faults))

    fun setHostListFaults(faults: HostListFaults) = post(hostList, Json.encodeToString(faults))

    fun setWeightFaults(faults: WeightFaults) = post(weights, Json.encodeToString(faults))

    /** Replaces the host list; hosts see the change after the configured lag. */
    internal fun setServers(servers: List<BackendServer>) {
        Http.sendOrFail("PUT", "http://$hostList/backend-servers", Json.encodeToString(servers))
    }

    /** Returns all writes that the table service has recorded so far. */
    fun tableLog(): List<WriteRecord> =
        Json.decodeFromString(Http.sendOrFail("GET", "http://$table/log"))

    internal fun end() = processes.forEach { it.kill() }

    private fun launch(name: String, main: String, address: String, vararg args: String) {
        processes += ChildProcess.start(
            name = name,
            mainClass = "org.hyssoprack.standins.$main",
            args = listOf("--address", address) + args,
            directory = directory,
            heapMb = HEAP_MB
        )
    }

    private fun post(address: String, body: String) {
        Http.sendOrFail("POST", "http://$address/faults", body)
    }

    private companion object {
        const val HEAP_MB = 96
        const val START_TIMEOUT_MS = 30_000L
    }
}
