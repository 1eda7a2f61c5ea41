package org.hyssoprack.gateway.forwarding.feeds

import assertk.assertAll
import assertk.assertThat
import assertk.assertions.isLessThanOrEqualTo
import net.jqwik.api.Example

/** A change reaches every host that reaches the store, whatever happens to the hosts that read it. */
class CutOffReaderTest {
    private class Case(val name: String, val fault: FeedFleet.(FeedFleet.Host) -> Unit)

    private val cases = listOf(
        Case("no fault") { },
        Case("the store turns the reader away") { it.storePath = FeedFleet.StorePath.REFUSED },
        Case("the store does not answer the reader") { it.storePath = FeedFleet.StorePath.SILENT },
        Case("messages from the reader are lost") { it.isMute = true },
        Case("messages to the reader are lost") { it.isDeaf = true },
        Case("the reader is cut off from all") {
            it.storePath = FeedFleet.StorePath.SILENT
            it.isMute = true
            it.isDeaf = true
        },
        Case("the reader is turned away and comes back again and again") {
            it.storePath = FeedFleet.StorePath.CHANGING
        }
    )

    private class Play(val name: String, val fleet: FeedFleet)

    private val plays by lazy {
        cases.flatMap { case ->
            listOf(1, 2).flatMap { readers ->
                SEEDS.map { seed ->
                    Play("${case.name}, $readers readers, seed $seed", play(case, readers, seed))
                }
            }
        }
    }

    @Example
    fun `hosts have each change within two seconds while their readers are cut off`() = assertAll {
        for (play in plays) {
            assertThat(play.fleet.worstDelayMs, play.name).isLessThanOrEqualTo(APPLY_MS)
        }
    }

    @Example
    fun `followers read the store themselves only while their readers are cut off`() = assertAll {
        for (play in plays) {
            val bound = if (play.name.startsWith("no fault")) 0 else CALLS_PER_FOLLOWER
            assertThat(play.fleet.callsPerFollower, play.name).isLessThanOrEqualTo(bound)
        }
    }

    private fun play(case: Case, readers: Int, seed: Int): FeedFleet {
        val fleet = FeedFleet(seed)
        fleet.advance(START_MS + seed * STEP_MS)
        repeat(readers) { case.fault(fleet, fleet.readers[it]) }
        fleet.advance(FAULT_MS)
        fleet.end()
        return fleet
    }

    private companion object {
        val SEEDS = 1..10
        const val START_MS = 5_000L

        // The faults begin at other moments of the calls to the store.
        const val STEP_MS = 130L
        const val FAULT_MS = 10_000L
        const val APPLY_MS = 2_000L

        // A held call each second and one after each change, of which there are up to two a second.
        const val CALLS_PER_FOLLOWER = 40
    }
}
