package org.hyssoprack.gateway.forwarding.slots

import assertk.assertAll
import assertk.assertThat
import assertk.assertions.hasSize
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isNotEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ResultCode
import org.hyssoprack.membership.MemberState

/** Guards against changes of the slot owner, and double use of slots, that load alone causes. */
class StableOwnerTest {
    private class Case(val name: String, val delayMs: Long, val event: OwnerFleet.() -> Unit)

    private val cases = listOf(200L, 400L, 1_000L).flatMap { delayMs ->
        listOf(
            Case("late replies of $delayMs ms", delayMs) { advance(8_000) },
            Case("late replies of $delayMs ms, the owner's settings are late at times", delayMs) {
                repeat(6) {
                    owner().isReady = false
                    advance(300)
                    owner().isReady = true
                    advance(1_000)
                }
            },
            Case("late replies of $delayMs ms, probes of the owner fail", delayMs) {
                val owner = owner()
                for (state in listOf(MemberState.SUSPECT, MemberState.DEAD)) {
                    setState(owner, state)
                    advance(2_000)
                    setState(owner, MemberState.ALIVE)
                    advance(2_000)
                }
            }
        )
    }

    @Example
    fun `load alone never changes the owner, refuses for lack of it, or counts a slot twice`() =
        assertAll {
            for (case in cases) {
                val fleet = OwnerFleet(seed = 1).settle()
                val owner = fleet.hosts.first { it.slots.isOwner }
                fleet.sendMs[owner.ref.host] = case.delayMs
                case.event(fleet)
                fleet.end()
                assertThat(fleet.events("slot-owner").size, case.name).isEqualTo(0)
                assertThat(fleet.owners(), case.name).isEqualTo(setOf(owner.ref.host))
                assertThat(fleet.refusals.count { it == ResultCode.HOST_ISOLATED }, case.name)
                    .isEqualTo(0)
                val dropped = fleet.events("slot-dropped").filter { it["reason"] == "not-reported" }
                assertThat(dropped.size, case.name).isEqualTo(0)
                assertThat(fleet.peak, case.name).isLessThanOrEqualTo(OwnerFleet.SLOTS + IN_TRANSIT)
            }
        }

    @Example
    fun `the loss of the owner costs at most a second, and its return changes nothing`() =
        assertAll {
            for (seed in 1..5) {
                val fleet = OwnerFleet(seed).settle()
                val owner = fleet.hosts.first { it.slots.isOwner }
                owner.isCutOff = true
                fleet.advance(2_000)
                assertThat(fleet.owners(), "$seed").hasSize(1)
                val next = fleet.owners().single()
                assertThat(next, "$seed").isNotEqualTo(owner.ref.host)
                fleet.advance(1_000)
                owner.isCutOff = false
                fleet.advance(5_000)
                fleet.end()
                assertThat(fleet.owners(), "$seed").isEqualTo(setOf(next))
                assertThat(fleet.refusals, "$seed").isEmpty()
                assertThat(fleet.waitsMs.max(), "$seed").isLessThanOrEqualTo(1_000)
                assertThat(fleet.peak, "$seed").isLessThanOrEqualTo(OwnerFleet.SLOTS + IN_TRANSIT)
            }
        }

    @Example
    fun `hosts whose member views differ at the start agree on one owner within two seconds`() {
        for (seed in 1..5) {
            val fleet = OwnerFleet(seed, newsMs = 1_000)
            fleet.setState(fleet.hosts.first(), MemberState.DEAD)
            fleet.advance(500)
            fleet.setState(fleet.hosts.first(), MemberState.ALIVE)
            fleet.advance(3_000)
            assertThat(fleet.owners(), "$seed").hasSize(1)
            fleet.end()
        }
    }

    private companion object {
        // Decisions of hosts alone that the owner does not know of yet.
        const val IN_TRANSIT = 2
    }
}
