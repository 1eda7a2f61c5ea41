package org.hyssoprack.serving.placement

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isIn
import assertk.assertions.isNull
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer

class ServerChooserTest {
    private val clock = ManualClock(1_000)
    private val chooser = ServerChooser(FailureDomain("d0"), Random(7))
    private val letter = WorkEstimate(promptTokens = 6_000, outputTokens = 400)

    private val request = PlacementRequest(
        work = letter,
        endLeftMs = 15_000,
        targetLeftMs = 800,
        patienceLeftMs = 3_200
    )

    private fun state(id: String, slots: Int = 2, leaving: Boolean = false, memory: Long = 10_000) =
        ServerState(
            server = RegisteredServer(
                id = BackendServerId(id),
                service = ServiceId("s"),
                address = NetworkAddress("10.0.0.1", 80),
                domain = FailureDomain("d0"),
                slots = slots,
                isLeaving = leaving
            ),
            clock = clock,
            memoryTokens = memory
        )

    private fun choose(vararg states: ServerState) =
        chooser.choose(states.toList(), request)?.server?.id?.value

    @Example
    fun `the server that is expected to answer first is chosen`() {
        val slow = state("slow", memory = 50_000).also { s ->
            repeat(5) { s.speed.recordPrompt(1_000, 72) }
        }
        val fast = state("fast", memory = 50_000).also { s ->
            repeat(5) { s.speed.recordPrompt(1_000, 22) }
        }
        assertThat(choose(slow, fast)).isEqualTo("fast")
        fast.recordDispatch(WorkEstimate(promptTokens = 3_000))
        assertThat(choose(slow, fast)).isEqualTo("fast")
    }

    @Example
    fun `servers without capacity, and those that are shutting down, are not chosen`() {
        val full = state("full", slots = 1).also { it.recordDispatch(WorkEstimate()) }
        val filled = state("filled").also { it.recordDispatch(WorkEstimate(outputTokens = 4_000)) }
        val leaving = state("leaving", leaving = true)
        assertThat(choose(full, filled, leaving)).isNull()
        assertThat(choose(full, filled, leaving, state("free"))).isEqualTo("free")
    }

    @Example
    fun `a server that cannot end the request on time is not chosen while another one could`() {
        val slow = state("slow").also { s -> repeat(5) { s.speed.recordStream(400, 16_000) } }
        val fast = state("fast", slots = 1).also { s ->
            repeat(5) { s.speed.recordStream(400, 1_600) }
        }
        assertThat(choose(slow, fast)).isEqualTo("fast")
        fast.recordDispatch(WorkEstimate())
        assertThat(choose(slow, fast)).isNull()
        assertThat(choose(slow)).isEqualTo("slow")
    }

    @Example
    fun `a request waits while the prompt backlog of the servers would make it late`() {
        class Case(val name: String, val targetLeftMs: Long, val backlog: Int, val chosen: String?)
        val cases = listOf(
            Case("a short backlog", targetLeftMs = 800, backlog = 20_000, chosen = "a"),
            Case("a long backlog", targetLeftMs = 800, backlog = 60_000, chosen = null),
            Case("already late", targetLeftMs = -10, backlog = 60_000, chosen = "a"),
            Case("late and beyond patience", targetLeftMs = -10, backlog = 400_000, chosen = null),
            Case("never on time", targetLeftMs = 50, backlog = 60_000, chosen = "a")
        )
        for (case in cases) {
            val state = state("a", memory = 1_000_000)
            repeat(5) { state.speed.recordPrompt(1_000, 32) }
            state.recordDispatch(WorkEstimate(promptTokens = case.backlog))
            val placement = request.copy(targetLeftMs = case.targetLeftMs)
            val chosen = chooser.choose(listOf(state), placement)?.server?.id?.value
            assertThat(chosen, case.name).isEqualTo(case.chosen)
        }
    }

    @Example
    fun `the load that a server reported counts while the report is recent`() {
        val state = state("reporting")
        state.recordReportedLoad(ReportedLoad(running = 1, waiting = 1))
        assertThat(choose(state)).isNull()
        clock.advance(1_000)
        assertThat(choose(state)).isEqualTo("reporting")
        state.recordResult(SlotResult(SlotOutcome.FULL))
        assertThat(choose(state)).isNull()
    }

    @Example
    fun `the load of other hosts counts`() {
        val busy = state("busy").also { it.setPeerLoad(PeerLoad(running = 2)) }
        assertThat(choose(busy)).isNull()
    }

    @Example
    fun `a server that fails or does not respond is chosen last until it responds`() {
        val stalled = state("stalled").also { it.recordDispatch(WorkEstimate()) }
        clock.advance(1_000)
        val healthy = state("healthy")
        assertThat(choose(stalled, healthy)).isEqualTo("healthy")
        stalled.recordActivity()
        stalled.recordEnd(WorkEstimate(), promptRead = true)
        assertThat(choose(stalled, healthy)).isIn("stalled", "healthy")
        repeat(3) { healthy.recordResult(SlotResult(SlotOutcome.FAILED)) }
        assertThat(choose(stalled, healthy)).isEqualTo("stalled")
        assertThat(choose(healthy)).isEqualTo("healthy")
    }
}
