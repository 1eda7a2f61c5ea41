package org.hyssoprack.rollout

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isLessThan
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isNotEqualTo
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.hyssoprack.rollout.SimulatedRollout.Fault

class RolloutPropertyTest {
    /** Kind of version; [wrong] is the number of wrong verdicts of 100 that chance may cause. */
    private class Case(
        val name: String,
        val fault: Fault = Fault.FAILURE,
        val load: (Long) -> Double = { 1.0 },
        val failing: (Long) -> Double = { 0.01 },
        val wrong: Int = 0,
        val badShare: (Long, Int) -> Double = { _, _ -> 0.0 }
    )

    @Property(tries = 5)
    fun `a bad version is rolled back within the exposure bound, however it is bad`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val cases = listOf(
            Case("fails always") { _, _ -> 1.0 },
            Case("fails in a quarter", wrong = 6) { _, _ -> 0.25 },
            Case("is slow always", Fault.SLOW) { _, _ -> 1.0 },
            Case("is slow in a quarter", Fault.SLOW, wrong = 6) { _, _ -> 0.25 },
            Case("fails late", wrong = 6) { ms, _ -> if (ms > 3_000) 0.4 else 0.0 },
            Case("is slow under load", Fault.SLOW, load = ::wave, wrong = 20) { ms, _ ->
                if (wave(ms) > 1.5) 0.6 else 0.0
            },
            Case("fails on one route", wrong = 6) { _, route -> if (route == 2) 0.8 else 0.0 },
            Case("is slow on one route", Fault.SLOW, wrong = 6) { _, route ->
                if (route == 0) 0.8 else 0.0
            }
        )
        for (case in cases) {
            val played = played(seed, case)
            assertThat(played.count { it.rollout.state != RolloutState.ROLLED_BACK }, case.name)
                .isLessThanOrEqualTo(case.wrong)
            assertThat(played.any { it.isOverExposed }, case.name).isFalse()
            assertThat(played.maxOf { it.bad }, case.name).isLessThan(MOST_BAD)
        }
    }

    @Property(tries = 5)
    fun `a good version succeeds, also under load and beside a fault of both versions`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val cases = listOf(
            Case("at rest", wrong = 6),
            Case("under waves of load", load = ::wave, wrong = 6),
            Case("while all fail for a time", failing = {
                if (it in
                    FAULT
                ) {
                    0.7
                } else {
                    0.01
                }
            }, wrong = 8),
            Case("while all get slower", load = { if (it in FAULT) 4.0 else 1.0 }, wrong = 6),
            Case("where both versions often fail", failing = { 0.2 }, wrong = 15)
        )
        for (case in cases) {
            val wrong = played(seed, case).count { it.rollout.state != RolloutState.SUCCEEDED }
            assertThat(wrong, case.name).isLessThanOrEqualTo(case.wrong)
        }
    }

    @Property(tries = 20)
    fun `a version with hardly any requests is decided before the deadline`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val good =
            SimulatedRollout(seed, Fault.FAILURE, perS = 3, failing = { 0.0 }) { _, _ -> 0.0 }
        assertThat(good.run()).isEqualTo(RolloutState.SUCCEEDED)
        val bad = SimulatedRollout(seed, Fault.FAILURE, perS = 6, failing = { 0.0 }) { _, _ -> 1.0 }
        assertThat(bad.run()).isNotEqualTo(RolloutState.SUCCEEDED)
    }

    private fun played(seed: Long, case: Case): List<SimulatedRollout> = (0 until PLAYS).map {
        SimulatedRollout(
            seed = seed + it,
            fault = case.fault,
            load = case.load,
            failing = case.failing,
            badShare = case.badShare
        ).also { played -> played.run() }
    }

    private companion object {
        const val PLAYS = 100

        // The bad responses after which a version has rollbackMs left.
        const val MOST_BAD = 50
        val FAULT = 4_000L..5_500L

        /** Load that rises and falls again, in 2 of 4 seconds. */
        fun wave(ms: Long): Double = if (ms % 4_000 >= 2_000) 3.0 else 1.0
    }
}
