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
 * Brings faults about; which host or backend server is hit follows from [random]. None is hit by
 * two faults at once.
 */
class FaultInjector(private val deployment: DeploymentUnderTest, private val random: Random) {
    private val operators = CollidingOperators(deployment)
    private val hit = HashSet<String>()

    /** Injects a fault of [kind]; bursts of calls are up to the traffic. */
    fun inject(kind: Kind): ActiveFault {
        val host = deployment.hosts.filter { it.name !in hit }.random(random)
        val engine = (deployment.backends.engineNames - hit).random(random)
        val service = (deployment.backends.serviceNames - hit).random(random)
        deployment.journal.note(JournalAction.FAULT, kind.name)
        val fault = inject(kind, host, engine, service)
        hit += fault.subject
        return fault
    }

    /** Takes [faults] back, the last one first. */
    fun undo(faults: List<ActiveFault>) = faults.asReversed().forEach {
        it.undo()
        hit -= it.subject
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
        ?: other(kind, listOf(engine, service).random(random))

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
                val cut = listOf("table-${host.name}") + linkNames()
                cut.forEach { deployment.proxy.set(it, BOTH_SILENT) };
                { cut.forEach { deployment.proxy.set(it, ListenerFaults()) } }
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
            Kind.ENGINE_REFUSING -> EngineFaults(refuseNext = SPOILT)
            Kind.STREAM_FROZEN -> EngineFaults(freezeNext = SPOILT)
            Kind.STREAM_CUT -> EngineFaults(cutNext = SPOILT)
            Kind.ANSWER_MIXED -> EngineFaults(mixNext = SPOILT)
            Kind.ANSWER_SWAPPED -> EngineFaults(swapIdNext = SPOILT)
            Kind.ANSWER_SHORT -> EngineFaults(shortNext = SPOILT, skipNext = SPOILT)
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
            Kind.SERVICE_REPLY_LOST -> ServiceFaults(loseReplyNext = SPOILT, cutNext = SPOILT)
            Kind.SERVICE_ANSWER_SWAPPED -> ServiceFaults(swapIdNext = SPOILT)
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

    private fun other(kind: Kind, name: String): ActiveFault = when (kind) {
        Kind.SERVER_LEAVING -> {
            deployment.setLeaving(name, isLeaving = true)
            ActiveFault(kind, name) { deployment.setLeaving(name, isLeaving = false) }
        }

        Kind.OPERATORS_COLLIDING -> {
            operators.collide()
            ActiveFault(kind, "operators")
        }

        else -> ActiveFault(kind, "callers")
    }

    private fun linkNames(): List<String> = deployment.hosts.map { "link-${it.name}" }

    private companion object {
        const val STOP_MS = 60_000L
        const val SLOWDOWN = 5.0
        const val SPOILT = 3
        const val SLOW_MS = 400L
        const val LATE_MS = 1_500L
        const val LINK_MS = 50L
        const val HALF = 0.5
        val SILENT = DirectionFaults(silent = true)
        val BOTH_SILENT = ListenerFaults(up = SILENT, down = SILENT)
    }
}
