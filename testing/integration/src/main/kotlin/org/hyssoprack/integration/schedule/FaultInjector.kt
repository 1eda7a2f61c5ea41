package org.hyssoprack.integration.schedule

import kotlin.random.Random
import org.hyssoprack.faultproxy.DirectionFaults
import org.hyssoprack.faultproxy.ListenerFaults
import org.hyssoprack.integration.deployment.DeploymentUnderTest
import org.hyssoprack.integration.deployment.HostUnderTest
import org.hyssoprack.integration.deployment.JournalAction
import org.hyssoprack.integration.schedule.FaultKind as Kind
import org.hyssoprack.standins.engine.EngineFaults
import org.hyssoprack.standins.hostlist.HostListFaults
import org.hyssoprack.standins.objects.ObjectFaults
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.service.ServiceFaults
import org.hyssoprack.standins.table.TableFaults

/**
 * Injects faults into a deployment. [random] selects the affected host or backend server; none has
 * two faults at the same time.
 */
class FaultInjector(private val deployment: DeploymentUnderTest, private val random: Random) {
    private val operators = ConcurrentOperators(deployment)
    private val affected = HashSet<String>()

    /** Injects a fault of [kind]. For a burst it does nothing: [Traffic] raises its call rate. */
    fun inject(kind: Kind): ActiveFault {
        val host = deployment.hosts.filter { it.name !in affected }.random(random)
        val engine = (deployment.backends.engineNames - affected).random(random)
        val service = (deployment.backends.serviceNames - affected).random(random)
        deployment.journal.record(JournalAction.FAULT, kind.name)
        val fault = inject(kind, host, engine, service)
        affected += fault.subject
        return fault
    }

    /** Undoes [faults] in reverse order of injection. */
    fun undo(faults: List<ActiveFault>) = faults.asReversed().forEach {
        it.undo()
        affected -= it.subject
    }

    private fun inject(
        kind: Kind,
        host: HostUnderTest,
        engine: String,
        service: String
    ): ActiveFault = hostFault(kind, host)
        ?: engineFault(kind, engine)
        ?: serviceFault(kind, service)
        ?: storeFault(kind)
        ?: connectionFault(kind, host, engine)
        ?: otherFault(kind, listOf(engine, service).random(random))

    private fun hostFault(kind: Kind, host: HostUnderTest): ActiveFault? {
        val undo: () -> Unit = when (kind) {
            Kind.HOST_KILLED -> {
                deployment.kill(host);
                { deployment.restart(host) }
            }

            Kind.HOST_PAUSED -> {
                deployment.pause(host);
                { deployment.resume(host) }
            }

            Kind.HOST_STOPPED -> {
                deployment.stop(host);
                {
                    if (!deployment.awaitEnd(host, STOP_MS)) deployment.kill(host)
                    deployment.restart(host)
                }
            }

            Kind.HOST_ISOLATED -> {
                val isolated = listOf("table-${host.name}") + linkNames()
                isolated.forEach { deployment.proxy.set(it, BOTH_SILENT) };
                { isolated.forEach { deployment.proxy.set(it, ListenerFaults()) } }
            }

            else -> return null
        }
        return ActiveFault(kind, host.name, undo)
    }

    private fun engineFault(kind: Kind, name: String): ActiveFault? {
        val backends = deployment.backends
        if (kind == Kind.ENGINE_KILLED) {
            backends.kill(name)
            return ActiveFault(kind, name) { backends.restart(name) }
        }
        if (kind == Kind.ENGINE_PAUSED) {
            backends.pause(name)
            return ActiveFault(kind, name) { backends.resume(name) }
        }
        val faults = when (kind) {
            Kind.ENGINE_STRAGGLING -> EngineFaults(slowdown = SLOWDOWN)
            Kind.ENGINE_REFUSING -> EngineFaults(refuseNext = FAULT_COUNT)
            Kind.STREAM_FROZEN -> EngineFaults(freezeNext = FAULT_COUNT)
            Kind.STREAM_CUT -> EngineFaults(cutNext = FAULT_COUNT)
            Kind.ANSWER_MIXED -> EngineFaults(mixNext = FAULT_COUNT)
            Kind.ANSWER_SWAPPED -> EngineFaults(swapIdNext = FAULT_COUNT)
            Kind.ANSWER_SHORT -> EngineFaults(shortNext = FAULT_COUNT, skipNext = FAULT_COUNT)
            else -> return null
        }
        backends.setEngineFaults(name, faults)
        return ActiveFault(kind, name) { backends.setEngineFaults(name, EngineFaults()) }
    }

    private fun serviceFault(kind: Kind, name: String): ActiveFault? {
        val backends = deployment.backends
        if (kind == Kind.SERVICE_KILLED) {
            backends.kill(name)
            return ActiveFault(kind, name) { backends.restart(name) }
        }
        val faults = when (kind) {
            Kind.SERVICE_REPLY_LOST ->
                ServiceFaults(loseReplyNext = FAULT_COUNT, cutNext = FAULT_COUNT)
            Kind.SERVICE_ANSWER_SWAPPED -> ServiceFaults(swapIdNext = FAULT_COUNT)
            else -> return null
        }
        backends.setServiceFaults(name, faults)
        return ActiveFault(kind, name) { backends.setServiceFaults(name, ServiceFaults()) }
    }

    private fun storeFault(kind: Kind): ActiveFault? {
        val platform = deployment.platform
        if (kind == Kind.OBJECTS_DOWN) {
            platform.setObjectFaults(ObjectFaults(outage = Outage.UNAVAILABLE))
            return ActiveFault(kind, "objects") { platform.setObjectFaults(ObjectFaults()) }
        }
        if (kind == Kind.HOST_LIST_DOWN) {
            platform.setHostListFaults(HostListFaults(outage = Outage.HANG))
            return ActiveFault(kind, "hostlist") { platform.setHostListFaults(HostListFaults()) }
        }
        val seed = random.nextLong()
        val faults = when (kind) {
            Kind.STORE_DOWN -> TableFaults(outage = Outage.UNAVAILABLE)
            Kind.STORE_HANGING -> TableFaults(outage = Outage.HANG)
            Kind.STORE_SLOW -> TableFaults(delayMs = SLOW_MS)
            Kind.STORE_LIMITED -> TableFaults(writesPerSecond = 2, readsPerSecond = 2)
            Kind.STORE_REPLY_LOST -> TableFaults(loseReplyShare = HALF, seed = seed)
            Kind.STORE_WRITE_LATE -> TableFaults(lateShare = HALF, lateMs = LATE_MS, seed = seed)
            else -> return null
        }
        platform.setTableFaults(faults)
        return ActiveFault(kind, "table") { platform.setTableFaults(TableFaults()) }
    }

    private fun connectionFault(kind: Kind, host: HostUnderTest, engine: String): ActiveFault? {
        val callers = "callers-${host.name}"
        when (kind) {
            Kind.LINKS_SILENT -> linkNames().forEach { deployment.proxy.silence(it) }
            Kind.LINKS_CUT -> linkNames().forEach { deployment.proxy.cut(it) }
            Kind.CALLERS_SILENT -> deployment.proxy.silence(callers)
            Kind.CALLERS_CUT -> deployment.proxy.cut(callers)
            Kind.ENGINE_SILENT -> deployment.proxy.silence(engine)
            Kind.ENGINE_CUT -> deployment.proxy.cut(engine)
            else -> return lastingFault(kind, host, engine)
        }
        return ActiveFault(kind, host.name)
    }

    private fun lastingFault(kind: Kind, host: HostUnderTest, engine: String): ActiveFault? {
        val slow = DirectionFaults(delayMs = LINK_MS, jitterMs = LINK_MS)
        val (listeners, faults) = when (kind) {
            Kind.LINK_ONE_WAY ->
                listOf("link-${host.name}") to ListenerFaults(down = SILENT)
            Kind.LINKS_SLOW -> linkNames() to ListenerFaults(up = slow, down = slow)
            Kind.TABLE_SILENT -> listOf("table-${host.name}") to BOTH_SILENT
            Kind.ENGINE_REPLY_LOST -> listOf(engine) to ListenerFaults(loseReplyShare = HALF)
            else -> return null
        }
        listeners.forEach { deployment.proxy.set(it, faults) }
        return ActiveFault(kind, listeners.first()) {
            listeners.forEach { deployment.proxy.set(it, ListenerFaults()) }
        }
    }

    private fun otherFault(kind: Kind, name: String): ActiveFault = when (kind) {
        Kind.SERVER_LEAVING -> {
            deployment.setLeaving(name, isLeaving = true)
            ActiveFault(kind, name) { deployment.setLeaving(name, isLeaving = false) }
        }

        Kind.OPERATORS_COLLIDING -> {
            operators.acceptConcurrently()
            ActiveFault(kind, "operators")
        }

        else -> ActiveFault(kind, "callers")
    }

    private fun linkNames(): List<String> = deployment.hosts.map { "link-${it.name}" }

    private companion object {
        const val STOP_MS = 60_000L
        const val SLOWDOWN = 5.0

        /** Number of successive requests that a fault of one backend server affects. */
        const val FAULT_COUNT = 3
        const val SLOW_MS = 400L
        const val LATE_MS = 1_500L
        const val LINK_MS = 50L
        const val HALF = 0.5
        val SILENT = DirectionFaults(silent = true)
        val BOTH_SILENT = ListenerFaults(up = SILENT, down = SILENT)
    }
}
