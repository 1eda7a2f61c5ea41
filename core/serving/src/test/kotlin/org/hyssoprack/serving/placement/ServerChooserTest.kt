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

    private val demand = PlacementRequest(
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
        chooser.choose(states.toList(), demand)?.server?.id?.value

    @Example
    fun `the server that is expected to answer first is chosen`() {
        val slow = state("slow", memory = 50_000).also { s ->
            repeat(5) { s.speed.prompt(1_000, 72) }
        }
        val fast = state("fast", memory = 50_000).also { s ->
            repeat(5) { s.speed.prompt(1_000, 22) }
        }
        assertThat(choose(slow, fast)).isEqualTo("fast")
        fast.dispatched(WorkEstimate(promptTokens = 3_000))
        assertThat(choose(slow, fast)).isEqualTo("fast")
    }

    @Example
    fun `servers without room, and those that leave, get nothing`() {
        val full = state("full", slots = 1).also { it.dispatched(WorkEstimate()) }
        val filled = state("filled").also { it.dispatched(WorkEstimate(outputTokens = 4_000)) }
        val leaving = state("leaving", leaving = true)
        assertThat(choose(full, filled, leaving)).isNull()
        assertThat(choose(full, filled, leaving, state("free"))).isEqualTo("free")
    }

    @Example
    fun `a server that cannot end the request in time is no choice while another one could`() {
        val slow = state("slow").also { s -> repeat(5) { s.speed.stream(400, 16_000) } }
        val fast = state("fast", slots = 1).also { s -> repeat(5) { s.speed.stream(400, 1_600) } }
        assertThat(choose(slow, fast)).isEqualTo("fast")
        fast.dispatched(WorkEstimate())
        assertThat(choose(slow, fast)).isNull()
        assertThat(choose(slow)).isEqualTo("slow")
    }

    @Example
    fun `a request waits while the servers have too much to read for it to be in time`() {
        class Case(val name: String, val targetLeftMs: Long, val backlog: Int, val chosen: String?)
        val cases = listOf(
            Case("a short backlog", targetLeftMs = 800, backlog = 20_000, chosen = "a"),
            Case("a long backlog", targetLeftMs = 800, backlog = 60_000, chosen = null),
            Case("late already", targetLeftMs = -10, backlog = 60_000, chosen = "a"),
            Case("late and beyond patience", targetLeftMs = -10, backlog = 400_000, chosen = null),
            Case("never in time", targetLeftMs = 50, backlog = 60_000, chosen = "a")
        )
        for (case in cases) {
            val state = state("a", memory = 1_000_000)
            repeat(5) { state.speed.prompt(1_000, 32) }
            state.dispatched(WorkEstimate(promptTokens = case.backlog))
            val asked = demand.copy(targetLeftMs = case.targetLeftMs)
            val chosen = chooser.choose(listOf(state), asked)?.server?.id?.value
            assertThat(chosen, case.name).isEqualTo(case.chosen)
        }
    }

    @Example
    fun `what a server says of its load counts while it is recent`() {
        val state = state("reporting")
        state.reported(ReportedLoad(running = 1, waiting = 1))
        assertThat(choose(state)).isNull()
        clock.advance(1_000)
        assertThat(choose(state)).isEqualTo("reporting")
        state.learn(SlotResult(SlotOutcome.FULL))
        assertThat(choose(state)).isNull()
    }

    @Example
    fun `the load of other hosts counts`() {
        val busy = state("busy").also { it.setPeerLoad(PeerLoad(running = 2)) }
        assertThat(choose(busy)).isNull()
    }

    @Example
    fun `a server that is silent or fails goes last until it answers`() {
        val silent = state("silent").also { it.dispatched(WorkEstimate()) }
        clock.advance(1_000)
        val sound = state("sound")
        assertThat(choose(silent, sound)).isEqualTo("sound")
        silent.heard()
        silent.ended(WorkEstimate(), promptRead = true)
        assertThat(choose(silent, sound)).isIn("silent", "sound")
        repeat(3) { sound.learn(SlotResult(SlotOutcome.FAILED)) }
        assertThat(choose(silent, sound)).isEqualTo("silent")
        assertThat(choose(sound)).isEqualTo("sound")
    }
}
