package org.hyssoprack.scheduling

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import assertk.assertions.isNotNull
import assertk.assertions.isNull
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Generation
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool

class DefaultEntrySchedulerTest {
    private val owner = HostRef(HostId("owner"), Incarnation(1))
    private val pool = Pool(PoolName("p"), queueLimit = 2)
    private var nowMs = 10_000L
    private var leases = 0L

    private fun entry(servers: Int = 2, leaving: Boolean = false): DefaultEntryScheduler {
        val self = HostRef(HostId("entry"), Incarnation(1))
        val entry = DefaultEntryScheduler(self, FailureDomain("d"))
        entry.updateFleet(nowMs, fleet(servers, leaving))
        return entry
    }

    private fun fleet(servers: Int, leaving: Boolean = false): Fleet {
        val all = (0 until servers).map {
            FleetServer(
                id = BackendServerId("s$it"),
                pool = pool.name,
                domain = FailureDomain("d"),
                generation = Generation("g"),
                owner = owner.host,
                slots = 2,
                canSuspend = it == 0,
                leaving = leaving
            )
        }
        return Fleet(all.associateBy { it.id }, mapOf(pool.name to pool), SchedulerSimulation.TIERS)
    }

    private fun request(
        name: String,
        tier: Int = 1,
        deadlineMs: Long = 1_000,
        promptTokens: Int = 0,
        once: Boolean = false
    ) = WaitingRequest(
        id = RequestId(name),
        account = ClientAccount("a"),
        share = 1,
        tier = TierRank(tier),
        pool = pool.name,
        arrivedAtMs = nowMs,
        deadlineAtMs = nowMs + deadlineMs,
        promptTokens = promptTokens,
        once = once
    )

    private fun grant(
        server: Int = 0,
        count: Int = 1,
        askedAtMs: Long = nowMs,
        keepable: Boolean = false
    ) = SlotMessage.Grant(
        server = BackendServerId("s$server"),
        lease = LeaseId(++leases),
        tier = TierRank(1),
        count = count,
        termMs = 2_000,
        askedAtMs = askedAtMs,
        account = ClientAccount("a"),
        keepable = keepable
    )

    private fun EntryScheduler.receiveFromOwner(message: SlotMessage) =
        receive(nowMs, owner, message)

    private fun List<EntryOutput>.dispatched() =
        filterIsInstance<EntryOutput.Dispatch>().map { it.requestId.value }

    private fun List<EntryOutput>.rejected() =
        filterIsInstance<EntryOutput.Reject>().map { it.failure.code }

    private inline fun <reified T : SlotMessage> List<EntryOutput>.sent() =
        filterIsInstance<EntryOutput.Send>().map { it.message }.filterIsInstance<T>()

    @Example
    fun `the first grant dispatches the request and later grants are returned`() {
        val entry = entry()
        entry.submit(nowMs, request("r"))
        assertThat(entry.receiveFromOwner(grant(server = 0)).dispatched()).containsExactly("r")
        val late = entry.receiveFromOwner(grant(server = 1))
        assertThat(late.dispatched()).isEmpty()
        assertThat(late.sent<SlotMessage.Return>().map { it.held }).containsExactly(0)
    }

    @Example
    fun `a slot goes to a request that can meet its deadline on that server`() {
        val entry = entry()
        entry.submit(nowMs, request("too-late", deadlineMs = 600).copy(completionTokens = 100))
        entry.submit(nowMs, request("in-time", deadlineMs = 5_000).copy(completionTokens = 100))
        entry.receiveFromOwner(SlotMessage.Digest(BackendServerId("s0"), digest(tokenMs = 10.0)))
        assertThat(entry.receiveFromOwner(grant()).dispatched()).containsExactly("in-time")
        assertThat(entry.receiveFromOwner(grant()).dispatched()).containsExactly("too-late")
    }

    private fun digest(tokenMs: Double) = ServerDigest(
        limit = 2,
        lent = 2,
        waiting = listOf(0, 2, 0),
        firstTokenMs = 20.0,
        tokenMs = tokenMs,
        prefillTokensPerMs = 10.0
    )

    @Example
    fun `an ended request is not dispatched when it is submitted again`() {
        val entry = entry()
        entry.submit(nowMs, request("r"))
        entry.receiveFromOwner(grant())
        entry.finished(nowMs, RequestId("r"), FinishReport(null, null))
        assertThat(entry.submit(nowMs, request("r"))).isEmpty()
        assertThat(entry.receiveFromOwner(grant()).dispatched()).isEmpty()
    }

    @Example
    fun `a grant that arrives after its term is refused`() {
        val entry = entry()
        entry.submit(nowMs, request("r"))
        val outputs = entry.receiveFromOwner(grant(askedAtMs = nowMs - 2_000))
        assertThat(outputs.dispatched()).isEmpty()
        assertThat(outputs.sent<SlotMessage.Return>().map { it.held }).containsExactly(0)
    }

    @Example
    fun `a kept slot is reused without a message until its lease lapses`() {
        val entry = entry(servers = 1)
        entry.submit(nowMs, request("a"))
        entry.receiveFromOwner(grant(keepable = true))
        entry.finished(nowMs, RequestId("a"), FinishReport(null, null))
        assertThat(entry.submit(nowMs, request("b")).dispatched()).containsExactly("b")
        entry.finished(nowMs, RequestId("b"), FinishReport(null, null))
        nowMs += 2_000
        assertThat(entry.submit(nowMs, request("c")).dispatched()).isEmpty()
    }

    @Example
    fun `only a renewal that the owner confirms extends a lease`() {
        val entry = entry(servers = 1)
        entry.submit(nowMs, request("a", deadlineMs = 9_000))
        entry.receiveFromOwner(grant(keepable = true))
        nowMs += 1_500
        val renewal = entry.tick(nowMs).sent<SlotMessage.Renew>().single()
        val digest = ServerDigest(2, 1, emptyList(), 0.0, 0.0, 0.0)
        entry.receiveFromOwner(SlotMessage.Digest(renewal.server, digest, renewal.sentAtMs))
        nowMs += 1_000
        entry.finished(nowMs, RequestId("a"), FinishReport(null, null))
        assertThat(entry.submit(nowMs, request("b")).dispatched()).containsExactly("b")
    }

    @Example
    fun `preemption takes idle slots first, then the least prefill, never an unrepeatable call`() {
        val cases = listOf(
            listOf(
                request("a", promptTokens = 900),
                request("b", promptTokens = 50)
            ) to listOf("b"),
            listOf(request("a", once = true), request("b", promptTokens = 50)) to listOf("b"),
            listOf(request("a", once = true), request("b", once = true)) to emptyList(),
            listOf(request("a", promptTokens = 900)) to emptyList()
        )
        cases.forEach { (requests, expected) ->
            val entry = entry(servers = 1)
            requests.forEach { entry.submit(nowMs, it) }
            val grant = grant(count = 2, keepable = true)
            entry.receiveFromOwner(grant)
            val preempt = SlotMessage.Preempt(grant.server, grant.lease, remaining = 1)
            val victims = (entry.receiveFromOwner(preempt) + entry.receiveFromOwner(preempt))
                .filterIsInstance<EntryOutput.Preempt>()
            assertThat(victims.map { it.requestId.value }).isEqualTo(expected)
        }
    }

    @Example
    fun `a request is shed only when the verdicts of all owners allow it`() {
        val lower = listOf(0 to 0, 0 to 1, 0 to null)
        val expected = listOf(ResultCode.DEADLINE_PASSED_WAITING, null, null)
        lower.zip(expected).forEach { (slots, code) ->
            val entry = entry()
            entry.submit(nowMs, request("r", deadlineMs = 300))
            nowMs += 300
            val checks = entry.tick(nowMs).sent<SlotMessage.ShedCheck>()
            assertThat(checks.size).isEqualTo(2)
            val answers = listOf(slots.first, slots.second).zip(checks).flatMap { (held, check) ->
                if (held == null) emptyList() else entry.receiveFromOwner(verdict(check, held))
            }
            assertThat(answers.rejected().singleOrNull()).isEqualTo(code)
        }
    }

    @Example
    fun `a request whose owners do not answer ends as unreachable and not as shed`() {
        val entry = entry()
        entry.submit(nowMs, request("r", deadlineMs = 300))
        val codes = (0..20).flatMap {
            nowMs += 50
            entry.tick(nowMs).rejected()
        }
        assertThat(codes).containsExactly(ResultCode.HOST_UNREACHABLE)
    }

    @Example
    fun `verdicts allow shedding only until they lapse`() {
        val cases = listOf(
            400L to ResultCode.DEADLINE_PASSED_WAITING,
            200L to ResultCode.HOST_UNREACHABLE
        )
        cases.forEach { (termMs, code) ->
            val entry = entry()
            entry.submit(nowMs, request("r", deadlineMs = 600))
            nowMs += 300
            entry.tick(nowMs).sent<SlotMessage.ShedCheck>().forEach {
                entry.receiveFromOwner(verdict(it, lower = 0).copy(termMs = termMs))
            }
            val codes = (0..20).flatMap {
                nowMs += 50
                entry.tick(nowMs).rejected()
            }
            assertThat(codes).containsExactly(code)
        }
    }

    @Example
    fun `requests without a server or over the queue limit are rejected at once`() {
        val cases = listOf(
            Triple(entry(leaving = true), 1, ResultCode.NO_BACKEND_SERVER),
            Triple(entry(servers = 0), 1, ResultCode.NO_BACKEND_SERVER),
            Triple(entry(), 3, ResultCode.QUEUE_FULL)
        )
        cases.forEach { (entry, count, code) ->
            val outputs = (1..count).flatMap { entry.submit(nowMs, request("r$it", tier = 2)) }
            assertThat(outputs.rejected()).containsExactly(code)
        }
    }

    @Example
    fun `a dispatched request cannot be given up and is kept when waiting ones are rejected`() {
        val entry = entry()
        entry.submit(nowMs, request("running"))
        entry.receiveFromOwner(grant())
        entry.submit(nowMs, request("waiting"))
        assertThat(entry.giveUp(nowMs, RequestId("running"))).isNull()
        assertThat(entry.giveUp(nowMs, RequestId("unknown"))).isNull()
        assertThat(entry.giveUp(nowMs, RequestId("waiting"))).isNotNull()
        entry.submit(nowMs, request("waiting"))
        val outputs = entry.rejectWaiting(nowMs, Failure(ResultCode.HOST_STOPPING, "stopping"))
        assertThat(outputs.rejected()).containsExactly(ResultCode.HOST_STOPPING)
        assertThat(entry.inProgress()).isEqualTo(1)
    }

    private fun verdict(check: SlotMessage.ShedCheck, lower: Int) = SlotMessage.ShedVerdict(
        server = check.server,
        tier = check.tier,
        long = check.long,
        lowerTierSlots = lower,
        checkedAtMs = check.sentAtMs,
        termMs = if (lower == 0) 600 else 0
    )
}
