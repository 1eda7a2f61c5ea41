package org.hyssoprack.serving.placement

import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock

class RecordedPlacementTest {
    private val clock = ManualClock(1_000)
    private val random = Random(20)
    private val chooser = ServerChooser(FailureDomain("d0"), Random(7))

    /** Guards against a change of placement for servers that report three figures. */
    @Example
    fun `servers without a reported pace are chosen as by the build before there was one`() {
        var digest = 17L
        var chosen = 0
        repeat(400) {
            val states = List(12) { state(it) }
            repeat(20) {
                val work = work()
                val request = PlacementRequest(
                    work = work,
                    endLeftMs = random.nextLong(200, 9_000),
                    targetLeftMs = random.nextLong(-50, 900),
                    patienceLeftMs = random.nextLong(100, 3_000)
                )
                val state = chooser.choose(states, request)
                state?.recordDispatch(work)
                if (state != null) chosen++
                val result = state?.server?.id?.value?.toLong() ?: -1
                digest = digest * 31 + result
                clock.advance(random.nextLong(0, 30))
            }
        }
        // Recorded on commit 5c69167.
        assertThat("$chosen $digest").isEqualTo("5939 123598737460338438")
    }

    private fun work(): WorkEstimate {
        if (random.nextInt(5) == 0) return WorkEstimate()
        return WorkEstimate(random.nextInt(20_000), random.nextInt(900))
    }

    private fun state(index: Int): ServerState {
        val state = serverState(clock, "$index", memory = 40_000, domain = "d${index % 3}")
        if (random.nextBoolean()) state.speed.recordPrompt(2_000, random.nextLong(20, 200))
        if (random.nextBoolean()) {
            val ms = random.nextLong(200, 3_000)
            state.recordResult(SlotResult(SlotOutcome.SUCCEEDED, 200, ms))
        }
        if (random.nextBoolean()) {
            state.recordResult(SlotResult(SlotOutcome.SUCCEEDED, callMs = random.nextLong(9, 200)))
        }
        if (random.nextInt(4) == 0) state.recordReportedLoad(ReportedLoad(random.nextInt(4), 0))
        if (random.nextInt(4) == 0) state.setPeerLoad(PeerLoad(1, random.nextInt(9_000), 9_000))
        if (random.nextInt(8) == 0) state.recordResult(SlotResult(SlotOutcome.FULL))
        return state
    }
}
