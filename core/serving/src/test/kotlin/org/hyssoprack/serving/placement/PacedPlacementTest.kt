package org.hyssoprack.serving.placement

import assertk.assertThat
import assertk.assertions.isCloseTo
import assertk.assertions.isEqualTo
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock

/** Placement by what servers report of their speed, and by their memory. */
class PacedPlacementTest {
    private val clock = ManualClock(1_000)
    private val chooser = ServerChooser(FailureDomain("d0"), Random(7))

    private fun state(id: String, pace: Int? = null) = serverState(clock, id, memory = 100_000)
        .also { state -> pace?.let { state.pace.record(it) } }

    private fun choose(work: WorkEstimate, targetMs: Long, vararg states: ServerState) =
        chooser.choose(
            states.toList(),
            PlacementRequest(work, endLeftMs = 10_000, targetLeftMs = targetMs)
        )?.server?.id?.value

    @Example
    fun `a request goes to the server that is fast now, and waits for none that is about to slow down`() {
        class Case(
            val name: String,
            val a: Int?,
            val b: Int?,
            val targetMs: Long,
            val chosen: String?
        )
        // Reading 10,000 tokens usually takes 212 ms.
        val cases = listOf(
            Case("b is slow", a = 100, b = 300, targetMs = 800, chosen = "a"),
            Case("a is slow", a = 300, b = null, targetMs = 800, chosen = "b"),
            Case("b is fast", a = 100, b = 40, targetMs = 800, chosen = "b"),
            Case("late on a only", a = 300, b = 200, targetMs = 500, chosen = "b"),
            Case("both late now", a = 300, b = 400, targetMs = 500, chosen = "a"),
            Case("fast, but late at the usual speed", a = 50, b = 150, targetMs = 200, chosen = "a")
        )
        for (case in cases) {
            val chosen = choose(
                WorkEstimate(promptTokens = 10_000, outputTokens = 100),
                case.targetMs,
                state("a", case.a),
                state("b", case.b)
            )
            assertThat(chosen, case.name).isEqualTo(case.chosen)
        }
    }

    /** Guards against a target that is met only if a short fast phase lasts. */
    @Example
    fun `a request near its target does not count on a pace above the usual one`() {
        val fastNow = state("fast now", pace = 40)
        fastNow.recordDispatch(WorkEstimate(promptTokens = 10_000))
        val idle = state("idle", pace = 100)
        val work = WorkEstimate(promptTokens = 5_000)
        assertThat(choose(work, 800, fastNow, idle)).isEqualTo("idle")
        val slower = state("slower", pace = 170)
        assertThat(choose(work, 800, fastNow, slower)).isEqualTo("fast now")
        assertThat(choose(work, 200, fastNow, slower)).isEqualTo("slower")
    }

    /** Guards against a pace that counts twice: once learned, once reported. */
    @Example
    fun `learned speeds do not contain the pace that held`() {
        class Case(val percent: Int?, val firstMs: Long, val streamMs: Long, val callMs: Long)
        val cases = listOf(
            Case(percent = null, firstMs = 52, streamMs = 800, callMs = 70),
            Case(percent = 300, firstMs = 156, streamMs = 2_400, callMs = 210),
            Case(percent = 50, firstMs = 26, streamMs = 400, callMs = 35)
        )
        for (case in cases) {
            val state = state("a", case.percent)
            state.recordFirstEvent(tokens = 2_000, firstMs = case.firstMs)
            state.recordResult(SlotResult(SlotOutcome.SUCCEEDED, 200, case.streamMs))
            state.recordResult(SlotResult(SlotOutcome.SUCCEEDED, callMs = case.callMs))
            val speed = state.speed
            assertThat(speed.prefillMs!!, "${case.percent}").isCloseTo(0.02, 1e-9)
            assertThat(speed.tokenMs!!, "${case.percent}").isCloseTo(4.0, 1e-9)
            assertThat(speed.callMs!!, "${case.percent}").isCloseTo(70.0, 1e-9)
        }
    }

    @Example
    fun `memory is planned by the ledger only for servers that report their pace`() {
        class Case(
            val name: String,
            val pace: Int?,
            val held: Int,
            val work: Int,
            val chosen: String?
        )
        val cases = listOf(
            Case("fits", pace = 100, held = 50_000, work = 40_000, chosen = "a"),
            Case("does not fit", pace = 100, held = 50_000, work = 40_001, chosen = null),
            Case("larger than the memory", pace = 100, held = 0, work = 100_001, chosen = null),
            Case("larger, three figures", pace = null, held = 0, work = 100_001, chosen = "a")
        )
        for (case in cases) {
            val state = state("a", case.pace)
            if (case.held > 0) state.recordDispatch(WorkEstimate(outputTokens = case.held))
            val chosen = choose(WorkEstimate(outputTokens = case.work), 800, state)
            assertThat(chosen, case.name).isEqualTo(case.chosen)
            assertThat(state.isTooSmallFor(WorkEstimate(case.work)), case.name)
                .isEqualTo(case.pace != null && case.work > 100_000)
        }
    }

    /** Guards against two requests that together crash a server beside others with room. */
    @Example
    fun `two of the largest requests go to one server only if no other has room`() {
        val large = WorkEstimate(outputTokens = 34_000)
        val holding = state("holding", pace = 30).also { it.recordDispatch(large) }
        val other = state("other", pace = 300)
        assertThat(choose(large, 800, holding, other)).isEqualTo("other")
        assertThat(choose(WorkEstimate(1_000, 100), 800, holding, other)).isEqualTo("holding")
        repeat(4) { other.recordDispatch(WorkEstimate()) }
        assertThat(choose(large, 800, holding, other)).isEqualTo("holding")
        val threeFigures = state("three figures").also { it.recordDispatch(large) }
        assertThat(threeFigures.isSecondLarge(large)).isEqualTo(false)
    }
}
