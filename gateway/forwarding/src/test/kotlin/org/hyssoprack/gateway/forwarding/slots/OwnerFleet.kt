package org.hyssoprack.gateway.forwarding.slots

import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedFleet
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedHost
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.queue.QueuedRequest
import org.hyssoprack.serving.settings.Account

/** Hosts under a steady load of one account, whose owner may reply late. */
internal class OwnerFleet(seed: Int, hostCount: Int = 9, newsMs: Long = 0, perS: Int = 40) :
    SimulatedFleet(Random(seed), hostCount, newsMs, listOf(ACCOUNT)) {
    /** Time that messages of a host take. */
    val sendMs = HashMap<HostId, Long>()
    val refusals = ArrayList<ResultCode>()
    val waitsMs = ArrayList<Long>()
    private val running = HashMap<BackendServerId, Int>()

    /** Largest number of requests at once on one server. */
    var peak = 0
        private set

    init {
        val servers = List(SERVERS) { registered(BackendServerId("b$it")) }
        hosts.forEach {
            it.quotas.restore(emptyMap())
            it.pools.updateServers(servers)
        }
        scope.launch {
            while (true) {
                delay(MS_PER_S / perS)
                val host = hosts.random(random)
                scope.launch { serve(host) }
            }
        }
    }

    /** Lets the hosts agree on an owner, and counts from then on. */
    fun settle(): OwnerFleet {
        advance(SETTLE_MS)
        refusals.clear()
        waitsMs.clear()
        peak = 0
        hosts.forEach { it.log.clear() }
        return this
    }

    override fun delayMs(from: HostRef, to: HostId): Long = sendMs[from.host] ?: MESSAGE_MS

    /** The owners that the connected hosts use. */
    fun owners(): Set<HostId?> =
        hosts.filter { !it.isCutOff }.mapTo(HashSet()) { it.slots.client.owner }

    fun events(name: String): List<Map<String, String>> = hosts.flatMap { it.log.named(name) }

    private suspend fun serve(host: SimulatedHost) {
        val arrivedMs = clock.nowMs()
        val request = QueuedRequest(
            service = service,
            work = WorkEstimate(),
            rank = 0,
            arrivedMs = arrivedMs,
            targetMs = 800,
            giveUpMs = arrivedMs + GIVE_UP_MS,
            endMs = arrivedMs + 8_000
        )
        if (host.isCutOff) return
        host.slots.client.acquire(request, QuotaCharge(ACCOUNT, 1.0)).fold(
            { if (!host.isCutOff) refusals += it.code },
            {
                waitsMs += clock.nowMs() - arrivedMs
                use(it)
            }
        )
    }

    private suspend fun use(slot: Slot) {
        val server = slot.state.server.id
        running.merge(server, 1, Int::plus)
        peak = maxOf(peak, running.getValue(server))
        delay(random.nextLong(1, 2 * WORK_MS))
        running.merge(server, -1, Int::plus)
        slot.release(SlotResult(SlotOutcome.SUCCEEDED))
    }

    private fun registered(id: BackendServerId) = RegisteredServer(
        id = id,
        service = service,
        address = NetworkAddress("10.0.0.2", 80),
        domain = FailureDomain("z"),
        slots = SLOTS
    )

    companion object {
        const val SLOTS = 6
        const val GIVE_UP_MS = 2_000L
        private const val SERVERS = 4
        private const val WORK_MS = 300L
        private const val MS_PER_S = 1_000L
        private const val SETTLE_MS = 12_000L
        private val ACCOUNT = Account(name = ClientAccount("bakery"), ratePerS = 80.0)
    }
}
