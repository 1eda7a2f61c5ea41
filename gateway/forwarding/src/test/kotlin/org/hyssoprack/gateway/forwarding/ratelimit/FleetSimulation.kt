package org.hyssoprack.gateway.forwarding.ratelimit

import kotlin.math.ln
import kotlin.random.Random
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Region
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.ResponseMetadata
import org.hyssoprack.gateway.forwarding.slots.Slot
import org.hyssoprack.gateway.forwarding.slots.SlotMessage
import org.hyssoprack.link.Link
import org.hyssoprack.link.ReceivedMessage
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.limits.ReportedRateLimit
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * Simulates hosts that share backend servers, in virtual time. Callers send requests at random
 * times to random hosts.
 *
 * @param perS callers' requests per second.
 * @param newsMs longest time that a host takes to learn of a change of the members.
 * @param knowsLimits whether a host reads the limits that servers name.
 * @param transform changes a message in transit; null loses it.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class FleetSimulation(
    seed: Int,
    private val perS: Double = 60.0,
    hostCount: Int = 9,
    serverCount: Int = 4,
    private val newsMs: Long = 0,
    private val knowsLimits: (SimulatedHost) -> Boolean = { true },
    private val transform: (SlotMessage) -> SlotMessage? = { it }
) {
    private val random = Random(seed)
    private val scheduler = TestCoroutineScheduler()
    private var fault: Throwable? = null
    private val scope = CoroutineScope(
        StandardTestDispatcher(scheduler) + SupervisorJob() +
            CoroutineExceptionHandler { _, e -> fault = e }
    )
    private val service = ServiceId("s")
    private val views = ArrayList<DatedView>()
    val clock = SimulatedTime(scheduler)
    val hosts: List<SimulatedHost>
    val servers = List(serverCount) { LimitedServer(BackendServerId("b$it"), clock) }

    /** Number of requests that got no slot. */
    var refused = 0
        private set

    /** Number of requests that were refused after they had waited. */
    var refusedAfterWait = 0
        private set

    init {
        val refs = List(hostCount) { HostRef(HostId("h$it"), Incarnation(1)) }
        views += DatedView(clock.nowMs(), MemberView(refs.associate { it.host to member(it) }))
        hosts = refs.map {
            val delayMs = random.nextLong(newsMs + 1)
            SimulatedHost(
                ref = it,
                clock = SimulatedTime(scheduler, random.nextLong(-WALL_CLOCK_MS, WALL_CLOCK_MS)),
                link = SimulatedLink(it),
                random = random,
                view = { view(delayMs) }
            )
        }
        hosts.forEach { it.pools.updateServers(servers.map { server -> registered(server) }) }
        hosts.forEach { host ->
            repeatEvery(SLOTS_TICK_MS) { host.tickSlots() }
            repeatEvery(QUEUE_TICK_MS) { host.pools.tick() }
        }
        scope.launch { sendRequests() }
    }

    /** The slot owner in the view of most hosts. */
    fun owner(): SimulatedHost = hosts.firstOrNull { it.slots.isOwner } ?: hosts.first()

    /** Lets [ms] milliseconds pass. */
    fun run(ms: Long): FleetSimulation {
        scheduler.advanceTimeBy(ms)
        fault?.let { throw it }
        return this
    }

    fun end() = scope.cancel()

    fun setState(host: SimulatedHost, state: MemberState) {
        val members = views.last().view.members
        val changed = members.getValue(host.ref.host).copy(state = state)
        views += DatedView(clock.nowMs(), MemberView(members + (host.ref.host to changed)))
    }

    private fun view(delayMs: Long): MemberView {
        val seenMs = clock.nowMs() - delayMs
        return (views.lastOrNull { it.sinceMs <= seenMs } ?: views.first()).view
    }

    private class DatedView(val sinceMs: Long, val view: MemberView)

    private fun repeatEvery(periodMs: Long, action: () -> Unit) = scope.launch {
        delay(random.nextLong(periodMs))
        while (true) {
            action()
            delay(periodMs)
        }
    }

    private suspend fun sendRequests() {
        while (true) {
            delay((-ln(1 - random.nextDouble()) / perS * MS_PER_S).toLong())
            val host = hosts.random(random)
            scope.launch { serve(host) }
        }
    }

    private suspend fun serve(host: SimulatedHost) {
        val arrivedMs = clock.nowMs()
        val request = QueuedRequest(
            service = service,
            work = WorkEstimate(),
            rank = 0,
            arrivedMs = arrivedMs,
            targetMs = TARGET_MS,
            giveUpMs = arrivedMs + GIVE_UP_MS,
            endMs = arrivedMs + DEADLINE_MS
        )
        host.slots.client.acquire(request, charge = null).fold(
            {
                refused++
                if (clock.nowMs() - arrivedMs > AT_ONCE_MS) refusedAfterWait++
            },
            { use(host, it) }
        )
    }

    private suspend fun use(host: SimulatedHost, slot: Slot) {
        val server = servers.first { it.id == slot.state.server.id }
        val sentMs = clock.nowMs()
        delay(MESSAGE_MS)
        if (!host.isCutOff) server.arrive(host.ref.host)
        delay(random.nextLong(1, 2 * WORK_MS))
        val perS = server.perS
        val limit = perS?.let { ReportedRateLimit.PerSecond(it) } ?: ReportedRateLimit.None
        delay(MESSAGE_MS)
        if (!knowsLimits(host)) return slot.release(SlotResult(SlotOutcome.SUCCEEDED))
        if (perS != null) server.named(host.ref.host)
        val metadata = ResponseMetadata(
            requestId = "r",
            isSealed = true,
            isNotRun = false,
            isOtherServer = false,
            rateLimit = limit
        )
        val isUnlimited = host.statusHandler.handleRateLimit(slot.state, metadata, sentMs)
        slot.release(SlotResult(SlotOutcome.SUCCEEDED, isUnlimited = isUnlimited))
    }

    private inner class SimulatedLink(private val self: HostRef) : Link {
        override val incoming = Channel<ReceivedMessage>()

        override fun send(to: HostId, message: HostMessage) {
            val sent = transform(message as SlotMessage) ?: return
            val target = hosts.first { it.ref.host == to }
            val source = hosts.first { it.ref == self }
            scope.launch {
                delay(MESSAGE_MS)
                if (!target.isCutOff && !source.isCutOff) target.slots.receive(self, sent)
            }
        }

        override fun sendTo(address: NetworkAddress, message: HostMessage) = Unit

        override fun setAddress(host: HostId, address: NetworkAddress) = Unit

        override suspend fun close() = Unit
    }

    private fun member(ref: HostRef) = Member(
        ref = ref,
        linkAddress = NetworkAddress("10.0.0.1", 1),
        callerAddress = NetworkAddress("10.0.0.1", 2),
        domain = FailureDomain("z"),
        region = Region("r"),
        capacity = 100
    )

    private fun registered(server: LimitedServer) = RegisteredServer(
        id = server.id,
        service = service,
        address = NetworkAddress("10.0.0.2", 80),
        domain = FailureDomain("z"),
        slots = SLOTS
    )

    private companion object {
        const val MS_PER_S = 1_000.0
        const val SLOTS_TICK_MS = 150L
        const val QUEUE_TICK_MS = 20L
        const val MESSAGE_MS = 1L
        const val WORK_MS = 100L
        const val SLOTS = 9
        const val TARGET_MS = 400L
        const val GIVE_UP_MS = 1_000L
        const val DEADLINE_MS = 4_000L
        const val WALL_CLOCK_MS = 50L

        // A round trip to the slot owner takes less.
        const val AT_ONCE_MS = 10L
    }
}
