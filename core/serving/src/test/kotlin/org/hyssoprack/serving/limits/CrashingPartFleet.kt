package org.hyssoprack.serving.limits

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.ServerInstance

/** Hosts with a [CrashingPartRegistry] each, one of which is the slot owner. */
internal class CrashingPartFleet(
    val clock: ManualClock,
    hosts: Int,
    private val log: EventLog = NoOpEventLog
) {
    val service = ServiceId("answers")
    val version: String? = "1"
    val registries = MutableList(hosts) { CrashingPartRegistry(clock, log) }
    var owner: Int? = 0
    private var bornMs = 0L
    private var toldChanges = 0
    private var statusMs = 0L

    val ownerRegistry: CrashingPartRegistry get() = registries[owner!!]

    /** Returns the id of a server process that did not exist before. */
    fun newServer(): ServerInstance = server(++bornMs)

    fun crash(server: ServerInstance, requests: List<Pair<Int, List<String>>>) {
        for ((host, parts) in requests) {
            registries[host].recordCrash(PartCrash(service, server, version, ids(parts)))
        }
        deliver()
    }

    fun crash(vararg parts: String, host: Int = 0, after: Long = 1_000) {
        crash(newServer(), listOf(host to parts.toList()))
        advance(after)
    }

    fun begin(vararg parts: String, host: Int = 0) {
        registries[host].recordBegun(service, version, ids(parts.toList()))
        deliver()
    }

    fun verdict(vararg parts: String, host: Int = 0): PartVerdict =
        registries[host].verdict(service, ids(parts.toList()))

    /** Returns whether a request reaches a server. */
    fun send(vararg parts: String, host: Int = 0): Boolean = when (verdict(*parts, host = host)) {
        is PartVerdict.Allowed -> true
        is PartVerdict.Blocked -> false
        is PartVerdict.TrialDue ->
            owner?.let { registries[it].tryTrial(service, ids(parts.toList())) } ?: false
    }.also { deliver() }

    /** Lets time pass in steps, with the statuses of the hosts and the owner each second. */
    fun advance(ms: Long) {
        val endMs = clock.nowMs() + ms
        while (clock.nowMs() < endMs) {
            clock.advance(minOf(STEP_MS, endMs - clock.nowMs()))
            deliver()
        }
    }

    /** Makes [host] the slot owner, whom each host tells what it knows. */
    fun changeOwner(host: Int?) {
        owner = host
        registries.forEach { it.ownerChanged() }
        if (host == null) return
        registries.forEachIndexed { index, registry ->
            if (index != host) registries[host].adopt(registry.records(), hostId(index))
        }
        broadcast()
    }

    private fun deliver() {
        val owner = owner ?: return exchange()
        val isStatusDue = clock.nowMs() - statusMs >= STATUS_MS
        registries.forEachIndexed { index, registry ->
            if (index == owner || !registry.hasNews && !isStatusDue) return@forEachIndexed
            report(registry, index, registries[owner])
        }
        if (isStatusDue || registries[owner].changes != toldChanges) broadcast()
    }

    /** Tells all hosts what each of them has seen, as they do without a slot owner. */
    private fun exchange() = registries.forEachIndexed { index, registry ->
        val news = registry.takeForPeers()
        registries.filter { it !== registry }.forEach { peer ->
            news.begun.forEach { peer.recordBegun(it) }
            news.crashes.forEach { peer.recordCrash(it, hostId(index)) }
        }
    }

    private fun report(registry: CrashingPartRegistry, index: Int, target: CrashingPartRegistry) {
        registry.takeUnreported().forEach { target.recordCrash(it, hostId(index)) }
        registry.takeUnreportedBegun().forEach { target.recordBegun(it) }
        registry.takeAsked().forEach { target.recordAsked(it) }
    }

    private fun broadcast() {
        val owner = owner ?: return
        statusMs = clock.nowMs()
        toldChanges = registries[owner].changes
        val records = registries[owner].records()
        registries.forEachIndexed { index, registry ->
            if (index != owner) registry.confirm(records, hostId(owner))
        }
    }

    private fun server(bornMs: Long) =
        ServerInstance(BackendServerId("b"), NetworkAddress("10.0.0.1", 80), bornMs)

    companion object {
        const val STEP_MS = 100L
        const val STATUS_MS = 1_000L

        fun ids(parts: List<String>): List<PromptPartId> = parts.map { PromptPartId(it) }

        fun hostId(index: Int) = HostId("host-$index")
    }
}
