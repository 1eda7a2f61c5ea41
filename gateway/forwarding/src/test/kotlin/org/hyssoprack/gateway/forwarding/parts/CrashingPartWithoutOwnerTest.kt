package org.hyssoprack.gateway.forwarding.parts

import assertk.assertAll
import assertk.assertThat
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isLessThanOrEqualTo
import net.jqwik.api.Example
import org.hyssoprack.gateway.forwarding.slots.SlotMessage

/**
 * One part of a prompt crashes each server that begins to answer it, on hosts that tell no owner
 * what they see.
 */
class CrashingPartWithoutOwnerTest {
    private class Case(
        val name: String,
        val transform: (SlotMessage) -> SlotMessage? = { it },
        val start: PartFleet.() -> Unit = {}
    )

    private val cases = listOf(
        Case("no host can grant slots", start = { hosts.forEach { it.isReady = false } }),
        Case("the owner is of the build before", transform = ::withoutParts)
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
                assertThat(fleet.sentAfter(crash = 5), name).isLessThanOrEqualTo(3)
            }
        }

    @Example
    fun `requests that share the first part are served throughout`() = assertAll {
        for ((name, fleet) in plays) {
            assertThat(fleet.servedShare, name).isGreaterThanOrEqualTo(0.95)
        }
    }

    private fun play(case: Case, seed: Int, gapMs: Long): PartFleet {
        val fleet = PartFleet(seed, gapMs, transform = case.transform)
        case.start(fleet)
        fleet.advance(START_MS)
        fleet.isDeadly = true
        fleet.sendDeadly(DURATION_MS)
        fleet.advance(END_MS)
        fleet.end()
        return fleet
    }

    private companion object {
        val SEEDS = 1..3
        val GAPS_MS = listOf(400L, 1_500L)
        const val START_MS = 3_000L
        const val DURATION_MS = 40_000L
        const val END_MS = 3_000L

        fun withoutParts(message: SlotMessage): SlotMessage = when (message) {
            is SlotMessage.Request -> message.copy(suspectParts = emptyList())
            is SlotMessage.Granted -> message.copy(isTrial = false)
            // A last report goes to hosts other than the owner.
            is SlotMessage.Report -> if (message.isLast) message else message.copy(parts = null)
            is SlotMessage.OwnerStatus -> message.copy(parts = null)
            else -> message
        }
    }
}
