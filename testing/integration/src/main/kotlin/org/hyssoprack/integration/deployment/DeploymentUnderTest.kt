package org.hyssoprack.integration.deployment

import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.hostlist.HostListFaults
import org.hyssoprack.standins.objects.ObjectFaults
import org.hyssoprack.standins.service.ServiceFaults
import org.hyssoprack.standins.table.TableFaults

/** A complete deployment of real processes on loopback, connected through the fault proxy. */
class DeploymentUnderTest(
    private val directory: Path,
    private val settings: DeploymentSettings = DeploymentSettings()
) : AutoCloseable {
    private val ports = PortPool()
    val journal = Journal()
    val platform = PlatformUnderTest(directory, settings.hostListLagMs, ports)
    val backends = BackendsUnderTest(directory, settings, ports)
    val proxy = ProxyUnderTest(directory, ports)
    val operators = OperatorClient(journal)
    val hosts: List<HostUnderTest> = List(settings.hosts) {
        HostUnderTest(name = "h${it + 1}", index = it, directory, platform, ports)
    }

    private val stopping = ConcurrentHashMap.newKeySet<HostUnderTest>()

    /** Hosts that callers may use; hosts that are stopping are excluded. */
    val usableHosts: List<HostUnderTest> get() = hosts.filter { it !in stopping }

    /** Starts all processes, accepts the first bundle and waits until it is in force. */
    fun start() {
        platform.start(backends.servers())
        val listeners = backends.listeners() + hosts.flatMap { it.listeners() }
        proxy.start(listeners, settings.proxySeed)
        backends.start()
        hosts.forEach { it.launch(seeds()) }
        hosts.forEach(::awaitStarted)
        acceptFirst()
    }

    /** Kills [host] with SIGKILL. */
    fun kill(host: HostUnderTest) {
        journal.record(JournalAction.KILLED, host.name)
        host.kill()
    }

    /** Starts a graceful stop of [host] with SIGTERM and returns without waiting. */
    fun stop(host: HostUnderTest) {
        journal.record(JournalAction.STOPPED, host.name)
        stopping.add(host)
        host.terminate()
    }

    /** Waits up to [timeoutMs] milliseconds; returns true if [host] has ended. */
    fun awaitEnd(host: HostUnderTest, timeoutMs: Long): Boolean = host.awaitEnd(timeoutMs)

    fun pause(host: HostUnderTest) {
        journal.record(JournalAction.FAULT, host.name)
        host.pause()
    }

    fun resume(host: HostUnderTest) {
        journal.record(JournalAction.FAULT, host.name)
        host.resume()
    }

    /** Starts [host] again and waits until it accepts calls. */
    fun restart(host: HostUnderTest) {
        host.launch(seeds())
        awaitStarted(host)
        stopping.remove(host)
        await("${host.name} accepts calls") { host.acceptsCalls() }
    }

    /** Marks the backend server [name] as leaving or live in the host list. */
    fun setLeaving(name: String, isLeaving: Boolean) {
        backends.setLeaving(name, isLeaving)
        platform.setServers(backends.servers())
        val action = if (isLeaving) JournalAction.LEAVING else JournalAction.LIVE
        journal.record(action, name)
    }

    /**
     * Clears the faults of the proxy, the table service, the object store, the host list and the
     * backend servers, resumes all hosts and restarts those that ended.
     */
    fun clearFaults() {
        proxy.clear()
        platform.setTableFaults(TableFaults())
        platform.setObjectFaults(ObjectFaults())
        platform.setHostListFaults(HostListFaults())
        hosts.forEach { it.resume() }
        hosts.filterNot { it.isAlive }.forEach(::restart)
        backends.engineNames.forEach { backends.setEngineFaults(it, EngineFaults()) }
        backends.serviceNames.forEach { backends.setServiceFaults(it, ServiceFaults()) }
    }

    /** Waits until [condition] holds; throws after [timeoutMs] milliseconds. */
    fun await(what: String, timeoutMs: Long = WAIT_MS, condition: () -> Boolean) {
        val endNanos = System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos()
        while (!condition()) {
            check(System.nanoTime() < endNanos) {
                "not reached within $timeoutMs ms: $what; logs in $directory"
            }
            Thread.sleep(STEP_MS)
        }
    }

    override fun close() {
        hosts.forEach { it.kill() }
        backends.end()
        proxy.end()
        platform.end()
    }

    private fun awaitStarted(host: HostUnderTest) {
        host.awaitReady()
        journal.record(JournalAction.STARTED, host.name)
    }

    private fun acceptFirst() {
        val hash = operators.proposeAndSignOff(hosts.first(), settings.policy)
        val answer = operators.accept(hosts.first(), hash, base = 0)
        check(answer.isSuccess) {
            "the first bundle was not accepted: ${answer.status} ${answer.body}"
        }
        await("the first bundle is in force on all hosts") {
            hosts.all { operators.activeVersion(it) >= 1 }
        }
    }

    private fun seeds(): List<String> = hosts.map { it.linkAddress }

    private companion object {
        const val WAIT_MS = 20_000L
        const val STEP_MS = 50L
    }
}
