package org.hyssoprack.gateway.forwarding.slots

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
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerLimit
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.limits.QuotaTolerance
import org.hyssoprack.serving.limits.RecordedUsage
import org.hyssoprack.serving.placement.PeerLoad
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.EngineSpec
import org.hyssoprack.serving.settings.ServiceSpec

class SlotOwnerTest {
    private val clock = ManualClock(100_000)
    private val service = ServiceId("s")
    private val server = BackendServerId("b")
    private val self = ref("self")
    private val a = ref("a")
    private val b = ref("b")
    private val account = Account(name = ClientAccount("bakery"), ratePerS = 1.0)
    private var isReady = true
    private var elsewhere: SlotMessage.OwnerClaim? = null
    private var members = setOf(self, a, b)
    private val sent = ArrayList<Pair<HostId, SlotMessage>>()
    private val pools = ServerPools(clock, ServerChooser(FailureDomain("z"), Random(1)))
    private val ledger = QuotaLedger(clock, { QuotaTolerance(windowMs = 8_000) }) { 1.0 }
    private val owner = SlotOwner(
        self = self,
        pools = pools,
        quotas = ledger,
        accounts = { mapOf(account.name to account) },
        members = { members },
        isReady = { isReady },
        clock = clock,
        log = NoOpEventLog,
        claimElsewhere = { elsewhere },
        send = { to, message -> sent += to to message }
    )

    init {
        ledger.restore(mapOf(account.name to RecordedUsage(emptyList(), 0)))
        clock.advance(20_000)
        pools.updateServers(listOf(registered()))
        listOf(a, b).forEach { owner.receive(it, SlotMessage.Report()) }
    }

    @Example
    fun `a released slot goes to the next waiting request, whatever releases it`() {
        class Case(val name: String, val free: () -> Unit)
        val cases = listOf(
            Case("its end") {
                owner.receive(a, SlotMessage.Ended(1, SlotResult(SlotOutcome.SUCCEEDED)))
            },
            Case("its request is cancelled") { owner.receive(a, SlotMessage.Cancelled(1)) },
            Case("its host reports without listing it") {
                clock.advance(1_500)
                owner.receive(a, SlotMessage.Report())
            },
            Case("its host is gone") {
                clock.advance(3_000)
                members = setOf(self, b)
                owner.tick()
            },
            Case("its host has restarted") {
                clock.advance(3_000)
                members = setOf(self, ref("a", run = 2), b)
                owner.tick()
            }
        )
        for (case in cases) {
            members = setOf(self, a, b)
            owner.receive(a, request(1))
            assertThat(last(a), case.name).isInstanceOf<SlotMessage.Granted>()
            owner.receive(b, request(2))
            assertThat(last(b), case.name).isInstanceOf<SlotMessage.Queued>()
            case.free()
            assertThat(grantsOf(b), case.name).isEqualTo(1)
            owner.receive(b, SlotMessage.Ended(2, SlotResult(SlotOutcome.SUCCEEDED)))
            sent.clear()
        }
    }

    @Example
    fun `a running request of a host that only stops reporting keeps its slot until its deadline`() {
        owner.receive(a, request(1))
        repeat(9) {
            clock.advance(1_000)
            owner.tick()
        }
        owner.receive(b, request(2))
        assertThat(last(b)).isInstanceOf<SlotMessage.Queued>()
    }

    @Example
    fun `a new owner takes over the requests that hosts report as running`() {
        owner.receive(a, SlotMessage.Report(running = listOf(running(7))))
        owner.receive(b, request(1))
        assertThat(last(b)).isInstanceOf<SlotMessage.Queued>()
        owner.receive(a, SlotMessage.Ended(7, SlotResult(SlotOutcome.SUCCEEDED)))
        assertThat(last(b)).isInstanceOf<SlotMessage.Granted>()
    }

    @Example
    fun `a slot whose grant is late on its way is kept until its host reports without it`() {
        class Case(val name: String, val report: SlotMessage.Report, val isKept: Boolean)
        val cases = listOf(
            Case("sent before the request", SlotMessage.Report(lastNumber = 6), isKept = true),
            Case(
                "while the host waits for the grant",
                SlotMessage.Report(lastNumber = 7, waiting = setOf(7)),
                isKept = true
            ),
            Case("after its end", SlotMessage.Report(lastNumber = 8), isKept = false)
        )
        owner.receive(a, request(7))
        owner.receive(b, request(2))
        for (case in cases) {
            clock.advance(1_500)
            owner.receive(a, case.report)
            assertThat(grantsOf(b) == 0, case.name).isEqualTo(case.isKept)
        }
    }

    @Example
    fun `a slot that a former owner granted counts once, before and after its host reports it`() {
        val state = pools[service].state(server)!!
        pools.setFleetLoads(mapOf(server to PeerLoad(running = 1)))
        repeat(2) {
            assertThat(state.load.running).isEqualTo(1)
            owner.receive(a, SlotMessage.Report(running = listOf(running(7))))
        }
        owner.receive(a, SlotMessage.Ended(7, SlotResult(SlotOutcome.SUCCEEDED)))
        assertThat(state.load.running).isEqualTo(0)
    }

    @Example
    fun `a host that reports learns of another owner's claim, and is served until it follows it`() {
        elsewhere = SlotMessage.OwnerClaim(b, term = 3)
        owner.receive(a, SlotMessage.Report())
        assertThat(last(a)).isEqualTo(elsewhere)
        owner.receive(a, request(1))
        assertThat(last(a)).isInstanceOf<SlotMessage.Granted>()
    }

    @Example
    fun `quota is charged once, and refunded if no slot was used`() {
        class Case(val name: String, val end: () -> Unit)
        val cases = listOf(
            Case("cancelled") { owner.receive(a, SlotMessage.Cancelled(1)) },
            Case("did not run at all") {
                owner.receive(a, SlotMessage.Ended(1, SlotResult(SlotOutcome.UNUSED)))
                owner.receive(a, SlotMessage.Refund(account.name, QUOTA))
            },
            Case("no slot in time") {
                owner.receive(b, request(9))
                owner.receive(a, SlotMessage.Cancelled(1))
            }
        )
        for (case in cases) {
            owner.receive(a, request(1, quota = QUOTA))
            assertThat(last(a), case.name).isInstanceOf<SlotMessage.Granted>()
            owner.receive(b, request(2, quota = QUOTA))
            val refusal = last(b) as SlotMessage.Refused
            assertThat(refusal.code, case.name).isEqualTo(ResultCode.QUOTA_EXCEEDED.number)
            case.end()
            assertThat(ledger.usedShare(account), case.name).isEqualTo(0.0)
            owner.receive(b, SlotMessage.Cancelled(9))
        }
    }

    @Example
    fun `a host without fresh settings grants nothing and replies so`() {
        isReady = false
        for (message in listOf(request(1), SlotMessage.Report())) {
            owner.receive(a, message)
            assertThat(last(a)).isEqualTo(SlotMessage.NotReady)
        }
    }

    @Example
    fun `a server that the requesting host must not use is not granted to it`() {
        owner.receive(a, request(1).copy(excludedServers = setOf(server)))
        assertThat(last(a)).isInstanceOf<SlotMessage.Queued>()
        owner.receive(b, request(2))
        assertThat(grantsOf(b)).isEqualTo(1)
    }

    @Example
    fun `only a request that was granted here after the last naming ends a limit`() {
        class Case(val name: String, val isEnded: Boolean, val events: () -> Unit)
        val unlimited = SlotResult(SlotOutcome.SUCCEEDED, isUnlimited = true)
        val cases = listOf(
            Case("granted after the naming", isEnded = true) {
                report(a, ageMs = 10)
                clock.advance(1_000)
                owner.receive(b, request(1))
                owner.receive(b, SlotMessage.Ended(1, unlimited))
            },
            Case("granted before the naming", isEnded = false) {
                owner.receive(b, request(1))
                clock.advance(1_000)
                report(a, ageMs = 10)
                owner.receive(b, SlotMessage.Ended(1, unlimited))
            },
            Case("granted by another host", isEnded = false) {
                report(a, ageMs = 10)
                clock.advance(1_000)
                owner.receive(b, SlotMessage.Report(running = listOf(running(1))))
                owner.receive(b, SlotMessage.Ended(1, unlimited))
            }
        )
        for (case in cases) {
            case.events()
            assertThat(pools.limits[instance] == null, case.name).isEqualTo(case.isEnded)
            clock.advance(10_000)
            pools.limits.recordUnlimited(instance, clock.nowMs())
            clock.advance(1_000)
        }
    }

    @Example
    fun `a grant that is returned unused does not count against a limit`() {
        report(a, ageMs = 0)
        clock.advance(1_000)
        repeat(3) {
            owner.receive(b, request(1))
            assertThat(last(b)).isInstanceOf<SlotMessage.Granted>()
            owner.receive(b, SlotMessage.Cancelled(1))
        }
    }

    @Example
    fun `a host that uses another owner counts as reporting again only after its next report`() {
        owner.receive(a, SlotMessage.Report(isLast = true))
        assertThat(owner.reportingHosts(SlotOwner.FRESH_MS)).isEqualTo(setOf(b.host))
        assertThat(owner.reportingHosts(SlotOwner.PRESENT_MS)).isEqualTo(setOf(a.host, b.host))
        owner.receive(a, SlotMessage.Report())
        assertThat(owner.reportingHosts(SlotOwner.FRESH_MS)).isEqualTo(setOf(a.host, b.host))
    }

    @Example
    fun `hosts learn of a limit at once`() {
        owner.tick()
        sent.clear()
        report(a, ageMs = 10)
        owner.tick()
        val status = last(b) as SlotMessage.OwnerStatus
        assertThat(status.limits).isEqualTo(listOf(ServerLimit(instance, 1.0, ageMs = 10)))
    }

    /** Guards against an owner that places by the usual speed, or counts its own figures twice. */
    @Example
    fun `the owner takes the pace from messages of other hosts`() {
        class Case(val name: String, val from: HostRef, val message: SlotMessage, val pace: Int?)
        val result = SlotResult(SlotOutcome.SUCCEEDED, pacePercent = 140)
        val cases = listOf(
            Case("its own", self, SlotMessage.Ended(1, result), pace = null),
            Case("first event", a, SlotMessage.PromptRead(1, firstMs = 20, 250), pace = 250),
            Case("end", a, SlotMessage.Ended(1, result), pace = 140),
            Case("no figure", a, SlotMessage.PromptRead(1, firstMs = 20), pace = 140)
        )
        for (case in cases) {
            owner.receive(case.from, request(1))
            owner.receive(case.from, case.message)
            assertThat(pools[service].state(server)!!.pace.lastPercent, case.name)
                .isEqualTo(case.pace)
            owner.receive(case.from, SlotMessage.Cancelled(1))
        }
    }

    /** Guards against requests that wait for a server that would never accept them. */
    @Example
    fun `a request that exceeds the memory of every server is refused at once`() {
        val engine = EngineSpec(slots = 1, memoryTokens = 1_000)
        val spec = ServiceSpec(service, healthPath = "/", maxConnections = 9, engine = engine)
        pools.updateServices(mapOf(service to spec))
        pools.updateServers(listOf(registered(born = 2)))
        class Case(val tokens: Int, val pace: Int?, val isRefused: Boolean)
        val cases = listOf(
            Case(tokens = 1_001, pace = null, isRefused = false),
            Case(tokens = 1_001, pace = 100, isRefused = true),
            Case(tokens = 1_000, pace = 100, isRefused = false)
        )
        for (case in cases) {
            case.pace?.let { pools[service].state(server)!!.pace.record(it) }
            owner.receive(a, request(1).copy(promptTokens = case.tokens))
            val code = (last(a) as? SlotMessage.Refused)?.code
            val expected = ResultCode.MEMORY_EXCEEDED.number.takeIf { case.isRefused }
            assertThat(code, "${case.tokens} ${case.pace}").isEqualTo(expected)
            owner.receive(a, SlotMessage.Cancelled(1))
        }
    }

    private val instance get() = pools[service].state(server)!!.server.instance

    private fun report(from: HostRef, ageMs: Long) = owner.receive(
        from,
        SlotMessage.Report(limits = listOf(ServerLimit(instance, perS = 1.0, ageMs = ageMs)))
    )

    private fun registered(born: Long = 1) = RegisteredServer(
        id = server,
        service = service,
        address = NetworkAddress("10.0.0.1", 80),
        domain = FailureDomain("z"),
        slots = 1,
        bornMs = born
    )

    private fun running(number: Long) =
        RunningSlot(number = number, service = service, server = server, endMs = 9_000)

    private fun request(number: Long, quota: Double = 0.0) = SlotMessage.Request(
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
        patienceMs = 10_000
    )

    private fun last(host: HostRef): SlotMessage = sent.last { it.first == host.host }.second

    private fun grantsOf(host: HostRef): Int =
        sent.count { it.first == host.host && it.second is SlotMessage.Granted }

    private fun ref(name: String, run: Long = 1) = HostRef(HostId(name), Incarnation(run))

    private companion object {
        // The whole quota of a window of eight seconds at one request per second.
        const val QUOTA = 8.0
    }
}
