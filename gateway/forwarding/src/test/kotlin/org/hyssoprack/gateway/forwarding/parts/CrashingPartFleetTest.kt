package org.hyssoprack.gateway.forwarding.parts

import assertk.assertAll
import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isLessThanOrEqualTo
import net.jqwik.api.Example

/** One part of a prompt crashes each server that begins to answer it, on hosts with an owner. */
class CrashingPartFleetTest {
    private val plays by lazy {
        FleetCase.ALL.flatMap { case ->
            GAPS_MS.flatMap { gapMs ->
                SEEDS.map { "${case.name}, each $gapMs ms, seed $it" to case.play(it, gapMs) }
            }
        }
    }

    @Example
    fun `at most three requests reach servers later than it takes to tell hosts of five crashes`() =
        assertAll {
            for ((name, fleet) in plays) {
                assertThat(fleet.crashesMs.size, name).isGreaterThanOrEqualTo(3)
                assertThat(fleet.sentAfter(crash = 5), name).isLessThanOrEqualTo(3)
            }
        }

    @Example
    fun `requests that share the first part are served throughout`() = assertAll {
        for ((name, fleet) in plays) {
            assertThat(fleet.servedShare, name).isGreaterThanOrEqualTo(0.95)
        }
    }

    @Example
    fun `every host refuses a blocked part, and serves it again once its trial has begun`() =
        assertAll {
            for (seed in SEEDS) {
                val fleet = FleetCase("mended").fleet(seed, GAPS_MS.first())
                fleet.sendDeadly(BLOCKED_MS)
                assertThat(fleet.blockingHosts, "blocked, seed $seed").isEqualTo(PartFleet.HOSTS)
                fleet.isDeadly = false
                val crashes = fleet.crashesMs.size
                fleet.sendDeadly(TRIAL_MS)
                val sent = fleet.deadly.size
                fleet.sendDeadly(SERVED_MS)
                fleet.advance(FleetCase.END_MS)
                fleet.end()
                assertThat(fleet.blockingHosts, "mended, seed $seed").isEqualTo(0)
                assertThat(fleet.crashesMs.size, "crashes, seed $seed").isEqualTo(crashes)
                assertThat(fleet.deadly.drop(sent).count { it.status != 200 }, "seed $seed")
                    .isEqualTo(0)
            }
        }

    private companion object {
        val SEEDS = 1..3
        val GAPS_MS = listOf(400L, 1_500L)
        const val BLOCKED_MS = 8_000L
        const val TRIAL_MS = 34_000L
        const val SERVED_MS = 4_000L
    }
}
