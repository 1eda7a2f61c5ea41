package org.hyssoprack.gateway.forwarding.parts

import assertk.assertAll
import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.gateway.forwarding.slots.SlotMessage
import org.hyssoprack.membership.MemberState
import org.hyssoprack.serving.settings.RouteKind

/** One part of a prompt crashes each server that begins to answer it, on hosts with an owner. */
class CrashingPartFleetTest {
    private class Case(
        val name: String,
        val isRepeating: Boolean = false,
        val transform: (SlotMessage) -> SlotMessage? = { it },
        val event: PartFleet.() -> Unit = { sendDeadly(AFTER_MS) }
    )

    private val cases = listOf(
        Case("nothing else happens"),
        Case("five crashes are seen by five hosts") {
            sendDeadly(AFTER_MS, RouteKind.STREAM)
        },
        Case("the owner leaves") {
            sendDeadly(MID_COUNT_MS)
            setState(owner(), MemberState.LEAVING)
            sendDeadly(AFTER_MS)
        },
        Case("the owner is killed in mid-count") {
            sendDeadly(MID_COUNT_MS)
            val owner = owner()
            kill(owner)
            sendDeadly(DETECTION_MS)
            setState(owner, MemberState.DEAD)
            sendDeadly(AFTER_MS)
        },
        Case("the owner is cut off from the other hosts") {
            sendDeadly(MID_COUNT_MS)
            val owner = owner()
            owner.isCutOff = true
            sendDeadly(DETECTION_MS)
            setState(owner, MemberState.DEAD)
            sendDeadly(AFTER_MS)
        },
        Case("a host is cut off from the other hosts") {
            sendDeadly(MID_COUNT_MS)
            val host = hosts.first { !it.slots.isOwner }
            host.isCutOff = true
            sendDeadly(DETECTION_MS)
            setState(host, MemberState.DEAD)
            sendDeadly(AFTER_MS)
        },
        Case("one message in ten is lost", transform = losing(share = 0.1)),
        Case("callers come back at once", isRepeating = true)
    )

    private val plays by lazy {
        cases.flatMap { case ->
            GAPS_MS.flatMap { gapMs ->
                SEEDS.map { "${case.name}, each $gapMs ms, seed $it" to play(case, it, gapMs) }
            }
        }
    }

    @Example
    fun `at most three requests reach servers later than it takes to tell hosts of five crashes`() =
        assertAll {
            for ((name, fleet) in plays) {
                assertThat(fleet.crashesMs.size, name).isGreaterThanOrEqualTo(3)
                assertThat(fleet.sentAfterFifth, name).isLessThanOrEqualTo(3)
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
                val fleet = fleet(Case("mended"), seed, GAPS_MS.first())
                fleet.sendDeadly(BLOCKED_MS)
                assertThat(fleet.blockingHosts, "blocked, seed $seed").isEqualTo(PartFleet.HOSTS)
                fleet.deadlyParts.clear()
                val crashes = fleet.crashesMs.size
                fleet.sendDeadly(TRIAL_MS)
                val sent = fleet.deadly.size
                fleet.sendDeadly(SERVED_MS)
                fleet.advance(END_MS)
                fleet.end()
                assertThat(fleet.blockingHosts, "mended, seed $seed").isEqualTo(0)
                assertThat(fleet.crashesMs.size, "crashes, seed $seed").isEqualTo(crashes)
                assertThat(fleet.deadly.drop(sent).count { it.status != 200 }, "seed $seed")
                    .isEqualTo(0)
            }
        }

    private fun play(case: Case, seed: Int, gapMs: Long): PartFleet {
        val fleet = fleet(case, seed, gapMs)
        case.event(fleet)
        fleet.advance(END_MS)
        fleet.end()
        return fleet
    }

    private fun fleet(case: Case, seed: Int, gapMs: Long): PartFleet {
        val fleet = PartFleet(seed, gapMs, case.isRepeating, case.transform)
        fleet.advance(START_MS)
        fleet.deadlyParts += PartFleet.DEADLY
        return fleet
    }

    private companion object {
        val SEEDS = 1..3
        val GAPS_MS = listOf(400L, 1_500L)
        const val START_MS = 3_000L

        // At most two requests with the part have been sent, each to several servers.
        const val MID_COUNT_MS = 800L
        const val DETECTION_MS = 1_500L

        // The first trial, 30 s after the block, is within this time.
        const val AFTER_MS = 40_000L
        const val BLOCKED_MS = 8_000L
        const val TRIAL_MS = 34_000L
        const val SERVED_MS = 4_000L
        const val END_MS = 3_000L

        fun losing(share: Double): (SlotMessage) -> SlotMessage? {
            val random = Random(1)
            return { it.takeIf { random.nextDouble() >= share } }
        }
    }
}
