package org.hyssoprack.gateway.forwarding.ratelimit

import kotlin.math.ln
import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.gateway.ResponseMetadata
import org.hyssoprack.gateway.forwarding.slots.Slot
import org.hyssoprack.gateway.forwarding.slots.SlotMessage
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
internal class FleetSimulation(
    seed: Int,
    private val perS: Double = 60.0,
    hostCount: Int = 9,
    serverCount: Int = 4,
    newsMs: Long = 0,
    private val knowsLimits: (SimulatedHost) -> Boolean = { true },
    transform: (SlotMessage) -> SlotMessage? = { it }
) : SimulatedFleet(Random(seed), hostCount, newsMs, transform = transform) {
    val servers = List(serverCount) { LimitedServer(BackendServerId("b$it"), clock) }

    /** Number of requests that got no slot. */
    var refused = 0
        private set

    /** Number of requests that were refused after they had waited. */
    var refusedAfterWait = 0
        private set

    init {
        hosts.forEach { it.pools.updateServers(servers.map { server -> registered(server) }) }
        scope.launch { sendRequests() }
    }

    /** Lets [ms] milliseconds pass. */
    fun run(ms: Long): FleetSimulation {
        advance(ms)
        return this
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

    private fun registered(server: LimitedServer) = RegisteredServer(
        id = server.id,
        service = service,
        address = NetworkAddress("10.0.0.2", 80),
        domain = FailureDomain("z"),
        slots = SLOTS
    )

    private companion object {
        const val MS_PER_S = 1_000.0
        const val WORK_MS = 100L
        const val SLOTS = 9
        const val TARGET_MS = 400L
        const val GIVE_UP_MS = 1_000L
        const val DEADLINE_MS = 4_000L

        // A round trip to the slot owner takes less.
        const val AT_ONCE_MS = 10L
    }
}
