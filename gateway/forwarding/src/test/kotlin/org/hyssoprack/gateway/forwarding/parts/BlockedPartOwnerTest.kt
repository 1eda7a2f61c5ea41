package org.hyssoprack.gateway.forwarding.parts

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isInstanceOf
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.gateway.forwarding.slots.SlotMessage
import org.hyssoprack.gateway.forwarding.slots.SlotOwner
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerInstance
import org.hyssoprack.serving.limits.PartCrash
import org.hyssoprack.serving.limits.PartReport
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.limits.QuotaTolerance
import org.hyssoprack.serving.limits.RecordedUsage
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.settings.Account

/** A slot owner and requests with a part that is blocked while they wait. */
class BlockedPartOwnerTest {
    private val clock = ManualClock(100_000)
    private val service = ServiceId("s")
    private val a = ref("a")
    private val b = ref("b")
    private val account = Account(name = ClientAccount("bakery"), ratePerS = 1.0)
    private val sent = ArrayList<Pair<HostId, SlotMessage>>()
    private val pools = ServerPools(clock, ServerChooser(FailureDomain("z"), Random(1)))
    private val ledger = QuotaLedger(clock, { QuotaTolerance(windowMs = 8_000) }) { 1.0 }
    private val owner = SlotOwner(
        self = ref("self"),
        pools = pools,
        quotas = ledger,
        accounts = { mapOf(account.name to account) },
        members = { setOf(ref("self"), a, b) },
        isReady = { true },
        clock = clock,
        log = NoOpEventLog,
        send = { to, message -> sent += to to message }
    )

    init {
        ledger.restore(mapOf(account.name to RecordedUsage(emptyList(), 0)))
        clock.advance(20_000)
        pools.updateServers(
            listOf(
                RegisteredServer(
                    id = BackendServerId("b"),
                    service = service,
                    address = NetworkAddress("10.0.0.1", 80),
                    domain = FailureDomain("z"),
                    slots = 1
                )
            )
        )
        listOf(a, b).forEach { owner.receive(it, SlotMessage.Report()) }
    }

    @Example
    fun `waiting requests are refused at the moment of the block and their quota is refunded`() {
        owner.receive(a, request(1))
        owner.receive(b, request(2, "first", "deadly", quota = QUOTA))
        owner.receive(b, request(3, "first", "sound"))
        assertThat(last(b)).isInstanceOf<SlotMessage.Queued>()
        assertThat(ledger.usedShare(account)).isEqualTo(1.0)
        block()
        assertThat(refusals(b)).isEqualTo(listOf(2L to ResultCode.PROMPT_PART_BLOCKED.number))
        assertThat(ledger.usedShare(account)).isEqualTo(0.0)
        owner.receive(a, SlotMessage.Ended(1, SlotResult(SlotOutcome.SUCCEEDED)))
        assertThat(grants(b)).isEqualTo(listOf(3L))
    }

    @Example
    fun `a waiting request whose slot becomes free before the block is told is not granted`() {
        owner.receive(a, request(1))
        owner.receive(b, request(2, "first", "deadly", quota = QUOTA))
        crashesOf("first", "deadly").forEach { pools.parts.registry.recordCrash(it, a.host) }
        owner.receive(a, SlotMessage.Ended(1, SlotResult(SlotOutcome.SUCCEEDED)))
        assertThat(grants(b)).isEqualTo(emptyList())
        assertThat(refusals(b)).isEqualTo(listOf(2L to ResultCode.PROMPT_PART_BLOCKED.number))
        assertThat(ledger.usedShare(account)).isEqualTo(0.0)
        owner.receive(b, request(3, "first", "sound"))
        assertThat(grants(b)).isEqualTo(listOf(3L))
    }

    @Example
    fun `a request with a blocked part is refused before it is charged, by its own code`() {
        block()
        owner.receive(b, request(2, "first", "deadly", quota = QUOTA))
        val refused = last(b) as SlotMessage.Refused
        assertThat(refused.code).isEqualTo(ResultCode.PROMPT_PART_BLOCKED.number)
        assertThat(refused.retryAfterMs).isEqualTo(null)
        assertThat(ledger.usedShare(account)).isEqualTo(0.0)
    }

    @Example
    fun `hosts are told of a block at once`() {
        owner.tick()
        sent.clear()
        block()
        for (host in listOf(a, b)) {
            val status = last(host) as SlotMessage.OwnerStatus
            val blocked = status.parts.orEmpty().filter { it.blockedAgeMs != null }
            assertThat(blocked.map { it.part.value }, "$host").isEqualTo(listOf("deadly"))
        }
    }

    private fun block() {
        pools.parts.registry.recordBegun(service, version = null, ids("first"))
        val crashes = crashesOf("first", "deadly")
        owner.receive(a, SlotMessage.Report(parts = PartReport(crashes = crashes.take(2))))
        owner.receive(b, SlotMessage.Report(parts = PartReport(crashes = crashes.drop(2))))
    }

    private fun crashesOf(vararg parts: String) = List(CRASHES) {
        val instance = ServerInstance(
            id = BackendServerId("gone"),
            address = NetworkAddress("10.0.0.2", 80),
            bornMs = it.toLong()
        )
        PartCrash(service, instance, parts = ids(*parts), ageMs = (CRASHES - it) * GAP_MS)
    }

    private fun request(number: Long, vararg parts: String, quota: Double = 0.0) =
        SlotMessage.Request(
            number = number,
            service = service,
            domain = FailureDomain("z"),
            account = account.name.takeIf { quota > 0 },
            quota = quota,
            rank = 0,
            ageMs = 0,
            targetMs = 400,
            giveUpMs = 5_000,
            endMs = 10_000,
            patienceMs = 10_000,
            suspectParts = ids(*parts)
        )

    private fun ids(vararg parts: String) = parts.map { PromptPartId(it) }

    private fun last(host: HostRef): SlotMessage = sent.last { it.first == host.host }.second

    private fun refusals(host: HostRef) = sent.filter { it.first == host.host }
        .mapNotNull { it.second as? SlotMessage.Refused }
        .map { it.number to it.code }

    private fun grants(host: HostRef) = sent.filter { it.first == host.host }
        .mapNotNull { (it.second as? SlotMessage.Granted)?.number }

    private fun ref(name: String) = HostRef(HostId(name), Incarnation(1))

    private companion object {
        // The whole quota of a window of eight seconds at one request per second.
        const val QUOTA = 8.0
        const val CRASHES = 3
        const val GAP_MS = 400L
    }
}
