package org.hyssoprack.gateway.forwarding.slots

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.sharing.ExpectedReturns
import org.hyssoprack.serving.sharing.ReturnKey
import org.hyssoprack.serving.sharing.SharingState

class SharingHandoverTest {
    private val clock = ManualClock(100_000)
    private val account = ClientAccount("bakery")
    private val key = ReturnKey(account, RouteName("bread"), rank = 1)
    private val state = SharingState(
        service = ServiceId("s"),
        leads = mapOf(1 to mapOf(account to 700.0)),
        expected = listOf(ExpectedReturns(key, inMs = 2_000, count = 3))
    )
    private val owner = HostId("owner")
    private val next = HostId("next")

    private fun pools() = ServerPools(clock, ServerChooser(FailureDomain("z"), Random(1)))

    private fun handover(pools: ServerPools) = SharingHandover(pools, clock, NoOpEventLog)

    // Guards against shares and assigned returns that are lost with their owner.
    @Example
    fun `the next owner continues with the shares and returns that a host kept`() {
        val before = pools().also { it[state.service].inherit(state) }
        val keeper = SharingKeeper(clock)
        val status = handover(before).statuses(SlotMessage.OwnerStatus(), setOf(next))
        keeper.keep(owner, status.getValue(next).sharing)
        clock.advance(1_500)
        val after = pools()
        val handover = handover(after)
        repeat(2) { handover.accept(HostRef(next, Incarnation(1)), keeper.statesFor(next)) }
        val inherited = after.sharing().single()
        assertThat(inherited.leads).isEqualTo(state.leads)
        val expected = inherited.expected.single()
        assertThat(expected.key to expected.count).isEqualTo(key to 3)
        assertThat(expected.inMs).isBetween(400, 600)
    }

    @Example
    fun `a host keeps no old state, and gives an owner none of its own`() {
        val keeper = SharingKeeper(clock)
        keeper.keep(owner, listOf(state))
        keeper.keep(owner, emptyList())
        assertThat(keeper.statesFor(owner)).isEmpty()
        assertThat(keeper.statesFor(next)).isEqualTo(listOf(state))
        clock.advance(6_000)
        assertThat(keeper.statesFor(next)).isEmpty()
    }

    @Example
    fun `a few hosts of a large fleet get the state`() {
        for (count in listOf(1, 5, 77, 120)) {
            val hosts = (1..count).mapTo(HashSet()) { HostId("h$it") }
            val pools = pools().also { it[state.service].inherit(state) }
            val status = handover(pools).statuses(SlotMessage.OwnerStatus(), hosts)
            assertThat(status.keys, "$count").isEqualTo(hosts)
            val keepers = status.values.count { it.sharing.isNotEmpty() }
            assertThat(keepers, "$count").isBetween(minOf(count, 6), 11)
        }
    }
}
