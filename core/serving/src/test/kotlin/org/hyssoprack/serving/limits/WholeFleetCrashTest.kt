package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isEmpty
import kotlin.random.Random
import net.jqwik.api.Example

/** A deadly part that ends all servers before the first and the last crash are 500 ms apart. */
class WholeFleetCrashTest {
    private class Case(val gapMs: Long, val startMs: Long)

    @Example
    fun `at most three requests reach the servers that come back`() {
        val broken = cases().filter { (_, simulation) -> simulation.sentAfterFifth > 3 }
        assertThat(broken.map { it.first }).isEmpty()
    }

    @Example
    fun `no sound part is blocked, not even for a moment and before it ever began`() {
        val broken = cases().filter { (_, simulation) -> simulation.soundBlocked.isNotEmpty() }
        assertThat(broken.map { it.first }).isEmpty()
    }

    private fun cases(): List<Pair<String, CrashSimulation>> = CASES.flatMap { case ->
        (0L until SEEDS).map { seed ->
            val simulation = CrashSimulation(Random(seed), case.gapMs, ATTEMPTS, case.startMs)
            simulation.run(DURATION_MS)
            "seed $seed, each ${case.gapMs} ms from ${case.startMs} ms on" to simulation
        }
    }

    private companion object {
        val CASES = listOf(
            Case(gapMs = 50, startMs = 0),
            Case(gapMs = 50, startMs = 5_000),
            Case(gapMs = 100, startMs = 5_000)
        )
        const val SEEDS = 120
        const val ATTEMPTS = 3
        const val DURATION_MS = 60_000L
    }
}
