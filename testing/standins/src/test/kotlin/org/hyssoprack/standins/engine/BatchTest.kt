package org.hyssoprack.standins.engine

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isCloseTo
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ModelId

class BatchTest {
    private val settings = EngineSettings(
        address = "127.0.0.1:0",
        id = BackendServerId("e"),
        model = ModelId("m"),
        slots = 2,
        prefillTokensPerS = 1_000.0,
        tokenMs = 10.0,
        batchSlowdown = 0.5,
        prefillChunk = 100
    )
    private val batch = Batch(settings)

    @Example
    fun `requests are admitted in order of arrival up to the number of slots`() {
        val runs = (1..3).map { run("r$it") }
        runs.forEach(batch::enqueue)
        assertThat(batch.admit()).containsExactly(runs[0], runs[1])
        assertThat(batch.queued).isEqualTo(1)
        batch.remove(runs[0])
        assertThat(batch.admit()).containsExactly(runs[2])
    }

    @Example
    fun `a suspended request frees its slot and resumes ahead of the queue`() {
        val runs = (1..4).map { run("r$it") }
        runs.forEach(batch::enqueue)
        batch.admit()
        batch.suspend(runs[0])
        assertThat(batch.admit()).containsExactly(runs[2])
        batch.resume(runs[0])
        batch.remove(runs[1])
        assertThat(batch.admit()).containsExactly(runs[0])
    }

    @Example
    fun `step duration grows with the number of requests and prompt tokens`() {
        cases.forEach { case ->
            val batch = Batch(settings)
            case.states.forEachIndexed { i, state ->
                batch.enqueue(run("r$i"))
                batch.admit().forEach { it.transitionTo(state) }
            }
            val step = batch.plan()
            assertThat(step.durationMs, name = case.toString()).isCloseTo(case.stepMs, 0.001)
        }
        assertThat(Batch(settings).plan().isEmpty).isTrue()
    }

    private fun run(id: String) = EngineRun(
        id = id,
        marker = id,
        promptTokens = 80,
        maxTokens = 4,
        arrivedAtMs = 0
    )

    private data class Case(val states: List<RunState>, val stepMs: Double)

    private companion object {
        val cases = listOf(
            Case(listOf(RunState.DECODE), 10.0),
            Case(listOf(RunState.DECODE, RunState.DECODE), 15.0),
            Case(listOf(RunState.PREFILL), 80.0),
            Case(listOf(RunState.PREFILL, RunState.PREFILL), 100.0),
            Case(listOf(RunState.DECODE, RunState.PREFILL), 90.0)
        )
    }
}
