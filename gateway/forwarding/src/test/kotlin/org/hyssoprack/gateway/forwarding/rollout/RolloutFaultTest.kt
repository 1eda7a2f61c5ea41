package org.hyssoprack.gateway.forwarding.rollout

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

class RolloutFaultTest {
    private class Case(val name: String, val prepare: RolloutFleet.() -> (Long) -> Unit)

    @Property(tries = 10)
    fun `each roll-out ends rightly, in time and within its bounds, whatever fails halfway`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        for (case in cases()) {
            for ((badShare, state) in mapOf(0.0 to "SUCCEEDED", 0.5 to "ROLLED_BACK")) {
                val name = "${case.name}, $badShare bad"
                val fleet = RolloutFleet(seed, badShare)
                fleet.hosts.first().isDecider = true
                fleet.play(RolloutFleet.DURATION_MS - MARGIN_MS, case.prepare(fleet))
                assertThat(fleet.stored, name).isEqualTo(state)
                assertThat(fleet.isOverExposed, name).isFalse()
                assertThat(fleet.isLate, name).isFalse()
                val allowed = if (state == "SUCCEEDED") "v2" else "v1"
                fleet.hosts.filter { it.isDecider && !it.isFrozen }.forEach {
                    it.feed()
                    assertThat(it.allowed(byOwner = true), name).isEqualTo(setOf(allowed))
                }
            }
        }
    }

    @Property(tries = 10)
    fun `a decider that was frozen does not accept a version by what it knew before`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val fleet = RolloutFleet(seed, badShare = 1.0, badFromMs = 5_000)
        // The successor rolls back in memory while the store is away, and both write at once then.
        fleet.play(RolloutFleet.DURATION_MS - MARGIN_MS) {
            fleet.hosts.first().isDecider = true
            fleet.hosts.first().isFrozen = it in 1_000..10_300
            fleet.hosts.last().isDecider = it >= 1_500
            fleet.table.isAway = it in 5_100..10_300
        }
        assertThat(fleet.stored).isEqualTo("ROLLED_BACK")
    }

    private fun cases(): List<Case> = buildList {
        add(Case("no fault") { {} })
        for (number in 1..MOST_WRITES) {
            add(
                Case("decider lost before write $number") {
                    table.beforeWrite = { if (it == number) hosts.first().kill() }
                    ;
                    {}
                }
            )
            add(
                Case("decider lost after write $number") {
                    table.afterWrite = { if (it == number) hosts.first().kill() }
                    ;
                    {}
                }
            )
            add(
                Case("reply to write $number lost") {
                    table.lostReply = number
                    ;
                    {}
                }
            )
        }
        add(Case("store away for 4 s") { { table.isAway = it in 2_000..6_000 } })
        add(Case("store away at first") { { table.isAway = it in 300..3_000 } })
        add(
            Case("decider frozen for 3 s") {
                {
                    hosts.first().isFrozen = it in 2_000..5_000
                    hosts.last().isDecider = it >= 3_000
                }
            }
        )
        add(
            Case("two deciders for a second") {
                { hosts.last().isDecider = it in 1_000..2_000 }
            }
        )
    }

    private companion object {
        const val MARGIN_MS = 300L
        const val MOST_WRITES = 12
    }
}
