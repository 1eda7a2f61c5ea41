package org.hyssoprack.bench.deployment

import java.nio.file.Path
import kotlin.io.path.createDirectories
import org.hyssoprack.bench.load.CallerTarget
import org.hyssoprack.burn.BurnReport
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.engine.EngineSettings
import org.hyssoprack.store.BackendServer

/**
 * Everything that an experiment needs, as processes on loopback: emulated engines, the platform's
 * stand-ins and entry hosts with a policy in force.
 *
 * @param directory where settings and logs go.
 */
class Deployment(private val directory: Path, engines: List<EngineSettings>, hosts: Int) :
    AutoCloseable {
    private val engineFleet = EngineFleet(directory.createDirectories(), engines)
    private val platform = Platform(directory, engineFleet.servers)
    private val hostFleet: HostFleet
    val engines: List<ChildProcess> get() = engineFleet.processes
    val hosts: List<ChildProcess> get() = hostFleet.processes
    val servers: List<BackendServer> get() = engineFleet.servers

    init {
        (engineFleet.servers.map { it.address.toString() } + platformAddresses())
            .forEach { Readiness.awaitOpen(it) }
        hostFleet = HostFleet(directory, platform, hosts)
        (hostFleet.operators + hostFleet.callers).forEach { Readiness.awaitOpen(it) }
    }

    /** Puts [policy] in force on all hosts. */
    fun accept(policy: String, accounts: List<String>) {
        BundleRollout(hostFleet.operators.first()).accept(policy, accounts)
        hostFleet.callers.forEach { Readiness.awaitServing(it, accounts.first()) }
    }

    /** The entry hosts that callers may use now, as the hosts themselves tell. */
    fun targets(): List<CallerTarget> {
        val alive = hostFleet.callers.filterIndexed { i, _ -> hostFleet.processes[i].isAlive }
        return alive.firstNotNullOfOrNull { HostDirectory.read(it) } ?: emptyList()
    }

    /** Report on service-level burn of all hosts that are alive; null if none answers. */
    fun burn(): BurnReport? = BurnCollector(hostFleet.operators).collect()

    /** Switches [faults] on, on the engine with this name. */
    fun setFaults(engine: String, faults: EngineFaults) {
        val server = servers.first { it.id.value == engine }
        EngineFaultCall.set(server.address.toString(), faults)
    }

    /** Ends the process with this name as a crash would. */
    fun kill(name: String) = (engines + hosts).first { it.name == name }.kill()

    override fun close() {
        hostFleet.close()
        platform.close()
        engineFleet.close()
    }

    private fun platformAddresses() = listOf(
        platform.tableService,
        platform.objectStore,
        platform.hostList,
        platform.weightStore
    )
}
