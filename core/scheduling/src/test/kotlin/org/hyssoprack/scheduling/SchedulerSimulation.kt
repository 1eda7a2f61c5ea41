package org.hyssoprack.scheduling

import java.util.Random
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Generation
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.TierName
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Tier

/**
 * Simulates several hosts and servers in one thread, with a network that delays, drops and
 * duplicates messages.
 */
class SchedulerSimulation(seed: Long, private val settings: SimulationSettings) {
    private val random = Random(seed)
    private val scheduling = SchedulingSettings()
    private val packets = ArrayList<InFlightMessage>()
    private val hosts = (0 until settings.hosts).map { Host(it) }.toMutableList()
    private val owners = IntArray(settings.servers) { it % settings.hosts }
    private val leaving = HashSet<Int>()
    private val partitionedHosts = HashSet<HostId>()
    private var counter = 0
    private val active = LinkedHashMap<RequestId, SimulatedRequest>()
    val requests = LinkedHashMap<RequestId, SimulatedRequest>()

    /** Messages sent between different hosts. */
    var sent = 0
        private set
    val violations = ArrayList<String>()
    var injectsFaults = true
    var nowMs = 10_000L
        private set

    init {
        changeFleet()
        run(scheduling.leaseTermMs + STEP_MS)
    }

    /** Submits a request on the host with index [host] and returns its id. */
    fun submit(
        host: Int,
        tier: Int,
        runsMs: Long = 200,
        deadlineMs: Long = 3_000,
        account: String = "a",
        once: Boolean = false,
        long: Boolean = false,
        promptTokens: Int = 0,
        completionTokens: Int = if (long) SchedulingSettings().longCompletionTokens else 0,
        prefillMs: Long = 0
    ): RequestId? {
        val target = hosts[host]
        if (!target.alive) return null
        val request = WaitingRequest(
            id = RequestId.of(target.ref, "r${counter++}"),
            account = ClientAccount(account),
            share = 1,
            tier = TierRank(tier),
            pool = settings.pool.name,
            arrivedAtMs = nowMs,
            deadlineAtMs = nowMs + deadlineMs,
            promptTokens = promptTokens,
            completionTokens = completionTokens,
            once = once
        )
        requests[request.id] = SimulatedRequest(request, host, runsMs, prefillMs)
        apply(target, target.entry.submit(nowMs, request))
        return request.id
    }

    /** Submits a request again if its first attempt is in progress or was dispatched. */
    fun resubmit(id: RequestId) {
        val simulated = requests.getValue(id)
        val host = hosts[simulated.host]
        if (simulated.outcomes.isNotEmpty() && simulated.dispatches == 0) return
        if ("host-died" in simulated.outcomes) return
        if (host.alive) apply(host, host.entry.submit(nowMs, simulated.request))
    }

    fun giveUp(id: RequestId) {
        val simulated = requests.getValue(id)
        val host = hosts[simulated.host]
        if (!host.alive) return
        val outputs = host.entry.giveUp(nowMs, id) ?: return
        simulated.outcomes.add("given-up")
        apply(host, outputs)
    }

    /** Returns the request at [index], which wraps around; null if there are no requests. */
    fun requestAt(index: Int): RequestId? =
        requests.keys.elementAtOrNull(if (requests.isEmpty()) 0 else index % requests.size)

    /** Partitions a host from all others, or ends the partition. */
    fun setPartitioned(host: Int, isPartitioned: Boolean) {
        val id = hosts[host].ref.host
        if (isPartitioned) partitionedHosts.add(id) else partitionedHosts.remove(id)
    }

    /** Ends all faults and restarts dead hosts. */
    fun endFaults() {
        injectsFaults = false
        partitionedHosts.clear()
        leaving.clear()
        hosts.indices.forEach { restart(it) }
        changeFleet()
    }

    fun anyHost(): Int = random.nextInt(hosts.size)

    fun digests(): List<ServerDigest> =
        hosts.filter { it.alive }.flatMap { it.owner.digests().values }

    fun inProgress(): Int = hosts.filter { it.alive }.sumOf { it.entry.inProgress() }

    fun changeOwner(server: Int, host: Int) {
        if (!hosts[host].alive) return
        owners[server] = host
        changeFleet()
    }

    fun setLeaving(server: Int, value: Boolean) {
        if (value) leaving.add(server) else leaving.remove(server)
        changeFleet()
    }

    /**
     * Kills a host: ends its requests and their engine calls, and moves its servers to a live host.
     */
    fun kill(host: Int) {
        val victim = hosts[host]
        if (!victim.alive || hosts.count { it.alive } == 1) return
        victim.alive = false
        requests.values.filter { it.host == host && it.outcomes.isEmpty() }.forEach {
            it.outcomes.add("host-died")
            it.runningOn = null
            active.remove(it.request.id)
        }
        val newOwner = hosts.indexOfFirst { it.alive }
        owners.indices.filter { owners[it] == host }.forEach { owners[it] = newOwner }
        changeFleet()
        hosts.filter { it.alive }.forEach { apply(it, it.owner.hostGone(nowMs, victim.ref)) }
    }

    /** Starts a new incarnation of a dead host. */
    fun restart(host: Int) {
        if (hosts[host].alive) return
        hosts[host] = Host(host, hosts[host].ref.incarnation.value + 1)
        changeFleet()
    }

    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) step()
    }

    fun running(): List<SimulatedRequest> = active.values.filter { it.runningOn != null }

    private fun step() {
        nowMs += STEP_MS
        val due = packets.filter { it.dueMs <= nowMs }.shuffled(random)
        packets.removeAll(due.toSet())
        due.forEach { deliver(it) }
        active.values.toList().forEach { advance(it) }
        if (nowMs % EntryScheduler.TICK_MS == 0L) hosts.filter { it.alive }.forEach { tick(it) }
    }

    private fun tick(host: Host) {
        apply(host, host.owner.tick(nowMs))
        apply(host, host.entry.tick(nowMs))
    }

    private fun deliver(packet: InFlightMessage) {
        val host = hosts.firstOrNull { it.ref.host == packet.to && it.alive } ?: return
        apply(host, host.entry.receive(nowMs, packet.from, packet.message))
        apply(host, host.owner.receive(nowMs, packet.from, packet.message))
    }

    private fun advance(simulated: SimulatedRequest) {
        val host = hosts[simulated.host]
        val cancelAtMs = simulated.cancelAtMs
        if (cancelAtMs != null && nowMs >= cancelAtMs) return end(host, simulated, "preempted")
        val suspendAtMs = simulated.suspendAtMs
        if (suspendAtMs != null && nowMs >= suspendAtMs) {
            simulated.suspendAtMs = null
            simulated.runningOn = null
            return apply(host, host.entry.suspended(nowMs, simulated.request.id))
        }
        val server = simulated.runningOn ?: return
        simulated.leftMs -= STEP_MS * speed(server)
        val hasFirstToken = simulated.leftMs <= simulated.runsMs - simulated.prefillMs
        if (hasFirstToken &&
            simulated.isMeasured &&
            simulated.firstTokenAtMs == null
        ) {
            firstToken(host, simulated)
        }
        if (simulated.leftMs <= 0) end(host, simulated, "done")
    }

    private fun firstToken(host: Host, simulated: SimulatedRequest) {
        simulated.firstTokenAtMs = nowMs
        val elapsedMs = nowMs - simulated.dispatchedAtMs
        apply(host, host.entry.firstToken(nowMs, simulated.request.id, elapsedMs))
    }

    private fun speed(server: FleetServer): Double {
        val index = server.id.value.drop(1).toInt()
        return settings.speed(index, active.values.count { it.runningOn?.id == server.id }, nowMs)
    }

    private fun end(host: Host, simulated: SimulatedRequest, outcome: String) {
        simulated.runningOn = null
        simulated.cancelAtMs = null
        simulated.suspendAtMs = null
        simulated.outcomes.add(outcome)
        simulated.endedAtMs = nowMs
        active.remove(simulated.request.id)
        apply(host, host.entry.finished(nowMs, simulated.request.id, simulated.report(nowMs)))
    }

    private fun apply(host: Host, outputs: List<Any>) {
        outputs.forEach { output ->
            when (output) {
                is EntryOutput -> applyEntry(host, output)
                is OwnerOutput -> send(host, output.to, output.message)
            }
        }
    }

    private fun applyEntry(host: Host, output: EntryOutput) {
        when (output) {
            is EntryOutput.Send -> send(host, output.to, output.message)
            is EntryOutput.Dispatch -> dispatched(output)
            is EntryOutput.Reject -> rejected(output)
            is EntryOutput.Preempt -> preempted(output)
            is EntryOutput.Resume -> {
                requests.getValue(output.requestId).runningOn = fleet().servers[output.server]
            }
        }
    }

    private fun dispatched(output: EntryOutput.Dispatch) {
        val simulated = requests.getValue(output.requestId)
        simulated.dispatches++
        active[simulated.request.id] = simulated
        simulated.dispatchedAtMs = nowMs
        if (simulated.outcomes.isNotEmpty()) {
            violations.add("dispatch of an ended ${simulated.request.id}")
        }
        simulated.runningOn = fleet().servers[output.server]
    }

    private fun rejected(output: EntryOutput.Reject) {
        val simulated = requests.getValue(output.requestId)
        simulated.outcomes.add(output.failure.code.wireName)
        if (simulated.dispatches > 0) {
            violations.add("reject after dispatch of ${simulated.request.id}")
        }
        if (output.failure.code !in SHED_CODES) return
        val lower = running().filter {
            simulated.request.tier.isAbove(it.request.tier) && acceptsRequests(it.runningOn)
        }
        if (lower.isNotEmpty()) {
            violations.add(
                "${simulated.request.id} shed while lower-tier ${lower.first().request.id} runs"
            )
        }
    }

    private fun acceptsRequests(server: FleetServer?): Boolean =
        server != null && fleet().servers.getValue(server.id).leaving.not()

    private fun preempted(output: EntryOutput.Preempt) {
        val simulated = requests.getValue(output.requestId)
        simulated.preemptions++
        if (output.suspend) {
            simulated.suspendAtMs = nowMs + settings.cancelMs
        } else {
            simulated.cancelAtMs = nowMs + settings.cancelMs
        }
    }

    private fun send(from: Host, to: HostId, message: SlotMessage) {
        if (to != from.ref.host) sent++
        val copies = if (injectsFaults && chance(settings.duplicatePercent)) 2 else 1
        repeat(copies) {
            if (injectsFaults && chance(settings.dropPercent)) return@repeat
            val isPartitioned = to in partitionedHosts || from.ref.host in partitionedHosts
            if (to != from.ref.host && isPartitioned) return@repeat
            val delayMs = if (to ==
                from.ref.host
            ) {
                0
            } else {
                1 +
                    random.nextInt(if (injectsFaults) settings.maxDelayMs else FAULT_FREE_DELAY_MS)
            }
            packets.add(InFlightMessage(from.ref, to, message, nowMs + delayMs))
        }
    }

    private fun chance(percent: Int): Boolean = random.nextInt(PERCENT) < percent

    private fun changeFleet() {
        val fleet = fleet()
        hosts.filter { it.alive }.forEach {
            apply(it, it.owner.updateFleet(nowMs, fleet))
            apply(it, it.entry.updateFleet(nowMs, fleet))
        }
    }

    private fun fleet(): Fleet {
        val servers = owners.indices.map { index ->
            FleetServer(
                id = BackendServerId("s$index"),
                pool = settings.pool.name,
                domain = FailureDomain("d${index % DOMAINS}"),
                generation = Generation("g"),
                owner = hosts[owners[index]].ref.host,
                slots = settings.slots,
                canSuspend = settings.canSuspend,
                leaving = index in leaving
            )
        }
        return Fleet(
            servers.associateBy {
                it.id
            },
            mapOf(settings.pool.name to settings.pool),
            TIERS
        )
    }

    private inner class Host(index: Int, incarnation: Long = 1) {
        val ref = HostRef(HostId("h$index"), Incarnation(incarnation))
        val entry = DefaultEntryScheduler(ref, FailureDomain("d${index % DOMAINS}"), scheduling)
        val owner = DefaultOwnerScheduler(ref, scheduling)
        var alive = true
    }

    companion object {
        const val STEP_MS = 5L
        const val DOMAINS = 3
        private const val FAULT_FREE_DELAY_MS = 2
        private const val PERCENT = 100
        val TIERS = (0..2).map { Tier(TierName("t$it"), TierRank(it), 0.99) }
        val SHED_CODES = setOf(
            ResultCode.QUEUE_FULL,
            ResultCode.DEADLINE_UNREACHABLE,
            ResultCode.DEADLINE_PASSED_WAITING
        )
    }
}
