package org.hyssoprack.gateway.forwarding.parts

import assertk.assertAll
import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isLessThanOrEqualTo
import net.jqwik.api.Example
import org.hyssoprack.serving.settings.RouteKind

/**
 * One request, which comes again and again, crashes each server that begins to answer it, on hosts
 * with an owner. Sound requests share all parts of its prompt.
 */
class CrashingRequestFleetTest {
    private val kinds = listOf(RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAM).map { kind ->
        FleetCase("a request of the kind $kind") { sendDeadly(FleetCase.AFTER_MS, kind) }
    }

    private val plays by lazy {
        (FleetCase.ALL + kinds).flatMap { case ->
            GAPS_MS.flatMap { gapMs ->
                SEEDS.map {
                    val fleet = case.play(it, gapMs, isSameRequest = true)
                    "${case.name}, each $gapMs ms, seed $it" to fleet
                }
            }
        }
    }

    @Example
    fun `at most three repeats reach servers later than it takes to tell hosts of three crashes`() =
        assertAll {
            for ((name, fleet) in plays) {
                assertThat(fleet.crashesMs.size, name).isGreaterThanOrEqualTo(3)
                assertThat(fleet.sentAfter(crash = 3), name).isLessThanOrEqualTo(3)
            }
        }

    @Example
    fun `sound requests with the same parts are served, and none of the parts is blamed`() =
        assertAll {
            for ((name, fleet) in plays) {
                assertThat(fleet.servedShare, name).isGreaterThanOrEqualTo(0.95)
                assertThat(fleet.blockingHosts, name).isEqualTo(0)
            }
        }

    @Example
    fun `every host refuses the request, and serves it again once its trial has begun`() =
        assertAll {
            for (seed in SEEDS) {
                val fleet = FleetCase("mended").fleet(seed, GAPS_MS.first(), isSameRequest = true)
                fleet.sendDeadly(BLOCKED_MS)
                assertThat(fleet.requestBlockingHosts, "seed $seed").isEqualTo(PartFleet.HOSTS)
                fleet.isDeadly = false
                fleet.sendDeadly(TRIAL_MS)
                val sent = fleet.deadly.size
                fleet.sendDeadly(SERVED_MS)
                fleet.advance(FleetCase.END_MS)
                fleet.end()
                assertThat(fleet.requestBlockingHosts, "seed $seed").isEqualTo(0)
                assertThat(fleet.deadly.drop(sent).count { it.status != 200 }, "seed $seed")
                    .isEqualTo(0)
            }
        }

    private companion object {
        val SEEDS = 1..3

        // At 50 ms several hosts send copies of the request before they see the first crash.
        val GAPS_MS = listOf(50L, 1_500L)
        const val BLOCKED_MS = 8_000L
        const val TRIAL_MS = 34_000L
        const val SERVED_MS = 4_000L
    }
}
