package org.hyssoprack.bench.deployment

import java.nio.file.Path
import kotlin.io.path.createDirectories
import org.hyssoprack.bench.load.CallerTarget
import org.hyssoprack.burn.BurnReport
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.engine.EngineSettings
import org.hyssoprack.store.BackendServer

/**
 * Runs the processes of an experiment on loopback addresses: emulated engines, platform stand-ins
 * and entry hosts.
 *
 * @param directory directory for settings and logs.
 */
class Deployment(private val directory: Path, engines: List<EngineSettings>, hosts: Int) :
    AutoCloseable {
    private val engineFleet = EngineFleet(directory.createDirectories(), engines)
    private val platform = PlatformStandIns(directory, engineFleet.servers)
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

    /** Activates [policy] on all hosts and waits until they serve it. */
    fun activatePolicy(policy: String, accounts: List<String>) {
        BundleRollout(hostFleet.operators.first()).rollOut(policy, accounts)
        hostFleet.callers.forEach { Readiness.awaitServing(it, accounts.first()) }
    }

    /** Returns the addresses that a live entry host lists for callers; empty if none responds. */
    fun targets(): List<CallerTarget> {
        val alive = hostFleet.callers.filterIndexed { i, _ -> hostFleet.processes[i].isAlive }
        return alive.firstNotNullOfOrNull { HostDirectory.read(it) } ?: emptyList()
    }

    /** Returns the service-level burn report of all live hosts; null if none responds. */
    fun burn(): BurnReport? = BurnCollector(hostFleet.operators).collect()

    /** Sets the injected [faults] of the engine named [engine]. */
    fun setFaults(engine: String, faults: EngineFaults) {
        val server = servers.first { it.id.value == engine }
        EngineFaultClient.set(server.address.toString(), faults)
    }

    /** Kills the process named [name] without a shutdown, like a crash. */
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
