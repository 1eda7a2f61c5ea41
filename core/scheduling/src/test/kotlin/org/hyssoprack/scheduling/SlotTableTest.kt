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
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Generation
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.TierName
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool

class SlotTableTest {
    private val self = HostRef(HostId("owner"), Incarnation(1))
    private val holder = HostRef(HostId("entry"), Incarnation(1))
    private val id = BackendServerId("s")
    private var nowMs = 0L

    private fun owner(pool: Pool = Pool(PoolName("p")), slots: Int = 4): DefaultOwnerScheduler {
        val owner = DefaultOwnerScheduler(self)
        val server = FleetServer(
            id = id,
            pool = pool.name,
            domain = FailureDomain("d"),
            generation = Generation("g"),
            owner = self.host,
            slots = slots,
            canSuspend = true
        )
        val tiers = SchedulerSimulation.TIERS
        owner.updateFleet(0, Fleet(mapOf(id to server), mapOf(pool.name to pool), tiers))
        nowMs = TERM_MS
        return owner
    }

    private fun ask(tier: Int, count: Int = 1, long: Boolean = false, urgent: Int = 0) =
        SlotMessage.Ask(
            server = id,
            tier = TierRank(tier),
            account = ClientAccount("a"),
            share = 1,
            long = long,
            count = count,
            urgent = urgent,
            slackMs = 1_000,
            waitedMs = 0,
            sentAtMs = nowMs
        )

    private fun OwnerScheduler.send(message: SlotMessage): List<SlotMessage> =
        receive(nowMs, holder, message).map { it.message }

    private fun List<SlotMessage>.grants() = filterIsInstance<SlotMessage.Grant>()

    private fun OwnerScheduler.lent(): Int = digests().getValue(id).lent

    @Example
    fun `each tier and kind gets slots up to its limit`() {
        val headroom = mapOf(TierName("t0") to 0.25, TierName("t1") to 0.25)
        val cases = listOf(
            Triple(Pool(PoolName("p")), ask(2, count = 9), 4),
            Triple(Pool(PoolName("p"), headroom = headroom), ask(0, count = 9), 4),
            Triple(Pool(PoolName("p"), headroom = headroom), ask(1, count = 9), 3),
            Triple(Pool(PoolName("p"), headroom = headroom), ask(2, count = 9), 2),
            Triple(Pool(PoolName("p"), longShare = 0.5), ask(0, count = 9, long = true), 2),
            Triple(Pool(PoolName("p"), longShare = 0.5), ask(0, count = 9), 4),
            Triple(Pool(PoolName("p"), longShare = 0.1), ask(0, count = 9, long = true), 1)
        )
        cases.forEach { (pool, ask, expected) ->
            assertThat(owner(pool).send(ask).grants().size).isEqualTo(expected)
        }
    }

    @Example
    fun `a new owner grants no slots or verdicts for a lease term but counts lent slots`() {
        val owner = owner()
        nowMs = TERM_MS - 1
        assertThat(owner.send(ask(0)).grants()).isEmpty()
        val check = SlotMessage.ShedCheck(id, TierRank(0), false, nowMs, binding = true)
        assertThat(owner.verdict(check)).isNull()
        val held = HeldLease(LeaseId(7), TierRank(0), held = 3, inUse = 3)
        owner.send(SlotMessage.Renew(id, listOf(held), sentAtMs = nowMs))
        assertThat(owner.lent()).isEqualTo(3)
        nowMs = TERM_MS
        assertThat(owner.send(ask(0, count = 9)).grants().size).isEqualTo(1)
    }

    @Example
    fun `duplicate and late messages about a lease are ignored`() {
        val owner = owner()
        val lease = owner.send(SlotMessage.AskBlock(id, TierRank(0), 2, nowMs)).grants().single()
        val all = HeldLease(lease.lease, TierRank(0), held = 2, inUse = 1)
        val cases = listOf(
            SlotMessage.Return(id, lease.lease, held = 1) to 1,
            SlotMessage.Return(id, lease.lease, held = 1) to 1,
            SlotMessage.Renew(id, listOf(all), nowMs) to 1,
            SlotMessage.Return(id, lease.lease, held = 0) to 0,
            SlotMessage.Return(id, lease.lease, held = 0) to 0,
            SlotMessage.Return(id, lease.lease, held = -1) to 0,
            SlotMessage.Renew(id, listOf(all), nowMs) to 0
        )
        cases.forEach { (message, lent) ->
            owner.send(message)
            assertThat(owner.lent()).isEqualTo(lent)
        }
    }

    @Example
    fun `a lapsed lease no longer counts as lent but is in doubt until its holder answers`() {
        val owner = owner(slots = 1)
        val lease = owner.send(ask(2)).grants().single()
        nowMs += TERM_MS
        owner.tick(nowMs)
        assertThat(owner.lent()).isEqualTo(0)
        val check = SlotMessage.ShedCheck(id, TierRank(0), false, nowMs, binding = true)
        assertThat(owner.verdict(check)).isNull()
        owner.send(SlotMessage.Return(id, lease.lease, held = 0))
        assertThat(owner.verdict(check)).isNotNull()
    }

    @Example
    fun `a late renewal of a lapsed lease counts as lent`() {
        val owner = owner(slots = 1)
        val lease = owner.send(ask(2)).grants().single()
        nowMs += TERM_MS
        assertThat(owner.send(ask(1)).grants().size).isEqualTo(1)
        val held = HeldLease(lease.lease, TierRank(2), held = 1, inUse = 1)
        owner.send(SlotMessage.Renew(id, listOf(held), nowMs))
        assertThat(owner.lent()).isEqualTo(2)
    }

    @Example
    fun `a dead host frees its slots`() {
        val owner = owner()
        owner.send(ask(0, count = 4))
        owner.hostGone(nowMs, holder)
        assertThat(owner.lent()).isEqualTo(0)
    }

    @Example
    fun `a verdict of no lower-tier slots blocks lending to lower tiers until it lapses`() {
        val owner = owner()
        val check = SlotMessage.ShedCheck(id, TierRank(0), false, nowMs, binding = true)
        assertThat(owner.verdict(check)?.lowerTierSlots).isEqualTo(0)
        assertThat(owner.send(ask(1)).grants()).isEmpty()
        nowMs += SchedulingSettings().verdictTermMs
        assertThat(owner.send(ask(1)).grants().size).isEqualTo(1)
    }

    @Example
    fun `each urgent request preempts one slot of the lowest tier, and no more`() {
        val owner = owner()
        owner.send(ask(1, count = 2))
        val low = owner.send(ask(2, count = 2)).grants().map { it.lease }
        val cases =
            listOf(ask(0, urgent = 0) to 0, ask(0, urgent = 1) to 1, ask(0, urgent = 1) to 0)
        cases.forEach { (ask, expected) ->
            val asked = owner.send(ask).filterIsInstance<SlotMessage.Preempt>()
            assertThat(asked.size).isEqualTo(expected)
            assertThat(asked.map { it.lease } - low.toSet()).isEmpty()
        }
    }

    @Example
    fun `waiting requests of a higher tier get the freed slot`() {
        val owner = owner(slots = 1)
        val lease = owner.send(ask(0)).grants().single()
        owner.send(ask(2))
        owner.send(ask(1))
        val next = owner.send(SlotMessage.Return(id, lease.lease, held = 0)).grants()
        assertThat(next.map { it.tier.value }).containsExactly(1)
    }

    private fun OwnerScheduler.verdict(check: SlotMessage.ShedCheck): SlotMessage.ShedVerdict? =
        send(check).filterIsInstance<SlotMessage.ShedVerdict>().singleOrNull()

    private companion object {
        const val TERM_MS = 2_000L
    }
}
