package org.hyssoprack.bench.capacity

import java.util.PriorityQueue
import kotlin.random.Random
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Generation
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank
import org.hyssoprack.link.tcp.MessageSizes
import org.hyssoprack.policy.Pool
import org.hyssoprack.scheduling.DefaultEntryScheduler
import org.hyssoprack.scheduling.DefaultOwnerScheduler
import org.hyssoprack.scheduling.EntryOutput
import org.hyssoprack.scheduling.FinishReport
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.FleetServer
import org.hyssoprack.scheduling.OwnerOutput
import org.hyssoprack.scheduling.SlotMessage
import org.hyssoprack.scheduling.WaitingRequest
import org.hyssoprack.scheduling.slotMessages

/**
 * Simulates the schedulers of several hosts and their backend servers in memory, in virtual time.
 * Uses the production schedulers; message sizes are those of encoded messages between hosts.
 */
internal class SlotSimulation(private val load: SlotLoad, seed: Long = 1) {
    private class Host(val ref: HostRef, domain: FailureDomain) {
        val entry = DefaultEntryScheduler(self = ref, ownDomain = domain)
        val owner = DefaultOwnerScheduler(self = ref)
        var nextRequestMs = 0.0
    }

    private class InFlightMessage(
        val dueMs: Long,
        val from: HostRef,
        val to: Int,
        val message: SlotMessage
    )

    private class RunningRequest(val endMs: Long, val host: Host, val id: RequestId)

    private val random = Random(seed)
    private val sizes = MessageSizes(slotMessages)
    private val hosts = List(load.hosts) { Host(ref(it), domain(it)) }
    private val inFlight = PriorityQueue<InFlightMessage>(compareBy { it.dueMs })
    private val running = PriorityQueue<RunningRequest>(compareBy { it.endMs })
    private val pool = Pool(name = PoolName("pool"))
    private var requestCount = 0L
    private var nowMs = START_MS

    /** Messages sent between different hosts since [resetCost]. */
    val traffic = MessageTraffic()

    /** CPU time of all entry schedulers since [resetCost], in nanoseconds. */
    var entryNanos = 0L
        private set

    /** CPU time of all owner schedulers since [resetCost], in nanoseconds. */
    var ownerNanos = 0L
        private set

    /** Number of requests dispatched since [resetCost]. */
    var dispatched = 0L
        private set

    /** Number of requests currently running. */
    val inProgress: Int get() = running.size

    init {
        val fleet = fleet()
        hosts.forEach { execute(it, it.owner.updateFleet(nowMs, fleet)) }
        hosts.forEach { execute(it, it.entry.updateFleet(nowMs, fleet)) }
        hosts.forEach { it.nextRequestMs = nowMs + SETTLE_MS + interval() }
    }

    fun run(forMs: Long) {
        val endMs = nowMs + forMs
        while (nowMs < endMs) step()
    }

    fun resetCost() {
        traffic.clear()
        entryNanos = 0
        ownerNanos = 0
        dispatched = 0
    }

    private fun step() {
        nowMs += STEP_MS
        deliver()
        finish()
        hosts.forEach { submitDue(it) }
        if (nowMs % TICK_MS == 0L) hosts.forEach { tick(it) }
    }

    private fun tick(host: Host) {
        execute(host, timeOwner { host.owner.tick(nowMs) })
        execute(host, timeEntry { host.entry.tick(nowMs) })
    }

    private fun submitDue(host: Host) {
        while (host.nextRequestMs <= nowMs) {
            host.nextRequestMs += interval()
            val request = request(host)
            execute(host, timeEntry { host.entry.submit(nowMs, request) })
        }
    }

    private fun interval(): Double = if (load.perSecond <=
        0
    ) {
        Double.MAX_VALUE
    } else {
        MS_PER_SECOND / load.perSecond * exponential()
    }

    private fun exponential(): Double = -kotlin.math.ln(1 - random.nextDouble())

    private fun request(host: Host): WaitingRequest = WaitingRequest(
        id = RequestId.of(host.ref, "r${requestCount++}"),
        account = ClientAccount("account-${random.nextInt(ACCOUNTS)}"),
        share = 1,
        tier = TierRank(random.nextInt(TIERS)),
        pool = pool.name,
        arrivedAtMs = nowMs,
        deadlineAtMs = nowMs + DEADLINE_MS,
        promptTokens = PROMPT_TOKENS,
        completionTokens = COMPLETION_TOKENS
    )

    private fun finish() {
        while (true) {
            val next = running.peek() ?: return
            if (next.endMs > nowMs) return
            running.poll()
            execute(next.host, timeEntry { next.host.entry.finished(nowMs, next.id, report()) })
        }
    }

    private fun report() = FinishReport(
        firstTokenMs = FIRST_TOKEN_MS,
        tokenMs = TOKEN_MS,
        promptTokens = PROMPT_TOKENS,
        completionTokens = COMPLETION_TOKENS
    )

    private fun deliver() {
        while (true) {
            val next = inFlight.peek() ?: return
            if (next.dueMs > nowMs) return
            inFlight.poll()
            val host = hosts[next.to]
            execute(host, timeOwner { host.owner.receive(nowMs, next.from, next.message) })
            execute(host, timeEntry { host.entry.receive(nowMs, next.from, next.message) })
        }
    }

    private fun execute(host: Host, outputs: List<Any>) = outputs.forEach { output ->
        when (output) {
            is EntryOutput.Send -> send(host, output.to, output.message)
            is OwnerOutput -> send(host, output.to, output.message)
            is EntryOutput.Dispatch -> start(host, output.requestId)
            else -> Unit
        }
    }

    private fun start(host: Host, id: RequestId) {
        dispatched++
        running += RunningRequest(endMs = nowMs + load.serviceMs, host = host, id = id)
    }

    private fun send(from: Host, to: HostId, message: SlotMessage) {
        val isRemote = to != from.ref.host
        if (isRemote) {
            val type = message::class.simpleName.orEmpty()
            traffic.add(type, sizes.bytes(message) ?: error("$type could not be encoded"))
        }
        val delayMs = if (isRemote) random.nextLong(1, MAX_DELAY_MS) else 0
        inFlight += InFlightMessage(nowMs + delayMs, from.ref, to.value.drop(1).toInt(), message)
    }

    private fun <T> timeEntry(work: () -> T): T {
        val startNanos = Meter.threadCpuNanos()
        val result = work()
        entryNanos += Meter.threadCpuNanos() - startNanos
        return result
    }

    private fun <T> timeOwner(work: () -> T): T {
        val startNanos = Meter.threadCpuNanos()
        val result = work()
        ownerNanos += Meter.threadCpuNanos() - startNanos
        return result
    }

    private fun fleet(): Fleet {
        val servers = List(load.hosts * load.serversPerHost) { server(it) }
        return Fleet(servers.associateBy { it.id }, mapOf(pool.name to pool))
    }

    private fun server(index: Int) = FleetServer(
        id = BackendServerId("backend-server-$index"),
        pool = pool.name,
        domain = domain(index % load.hosts),
        generation = Generation("g${index % GENERATIONS}"),
        owner = HostId("h${index % load.hosts}"),
        slots = load.slotsPerServer,
        canSuspend = true
    )

    private fun ref(index: Int) = HostRef(HostId("h$index"), Incarnation(START_MS))

    private fun domain(index: Int) = FailureDomain("domain-${index % load.domains}")

    private companion object {
        const val STEP_MS = 5L
        const val TICK_MS = 50L
        const val SETTLE_MS = 3_000L
        const val START_MS = 1_764_000_000_000
        const val MAX_DELAY_MS = 3L
        const val MS_PER_SECOND = 1_000.0
        const val DEADLINE_MS = 60_000L
        const val PROMPT_TOKENS = 500
        const val COMPLETION_TOKENS = 219
        const val FIRST_TOKEN_MS = 200L
        const val TOKEN_MS = 28.0
        const val ACCOUNTS = 1_000
        const val TIERS = 4
        const val GENERATIONS = 5
    }
}
