package org.hyssoprack.gateway.forwarding.overload

import assertk.assertThat
import assertk.assertions.isGreaterThan
import net.jqwik.api.Example

class OverloadTest {
    private val long = RequestClass(
        name = "long drafts",
        rank = 0,
        perS = 15.0,
        promptTokens = 6_600,
        outputTokens = 380,
        targetMs = 800,
        deadlineMs = 15_000
    )
    private val medium = RequestClass(
        name = "questions",
        rank = 1,
        perS = 42.0,
        promptTokens = 630,
        outputTokens = 290,
        targetMs = 400,
        deadlineMs = 12_000
    )
    private val short = RequestClass(
        name = "checks",
        rank = 2,
        perS = 23.0,
        promptTokens = 1_800,
        outputTokens = 24,
        targetMs = 400,
        deadlineMs = 3_000
    )
    private val kinds = listOf(long, medium, short)
    private val servers = listOf(0.68, 0.68, 0.68, 0.68, 3.0, 3.0)

    // A light load with the two bursts of the users' days.
    private val bursts = { ms: Long ->
        when (ms) {
            in 5_000..<10_000 -> 1.6
            in 15_000..<17_500 -> 2.1
            else -> 0.9
        }
    }

    private class Case(
        val name: String,
        val seed: Int,
        val reportsPace: Boolean = false,
        val load: (Long) -> Double
    ) {
        fun withPace() = Case("$name, with reported pace", seed, reportsPace = true, load = load)
    }

    private val overloads = SEEDS.flatMap { seed ->
        listOf(
            Case("somewhat over capacity, $seed", seed) { 1.3 },
            Case("well over capacity, $seed", seed) { 1.6 },
            Case("twice the usual, $seed", seed) { 2.0 }
        )
    }.flatMap { listOf(it, it.withPace()) }
    private val burstDays = SEEDS.map { Case("bursts, $it", it, load = bursts) }
        .flatMap { listOf(it, it.withPace()) }

    @Example
    fun `no class of requests starves in a lasting overload`() {
        for (case in overloads) {
            val simulation = simulate(case)
            val all = simulation.calls.count { it.isServed }.toDouble() / simulation.calls.size
            for (kind in kinds) {
                val served = simulation.servedShare(kind)
                assertThat(served, "${case.name}, ${kind.name}").isGreaterThan(all / 4)
            }
        }
    }

    @Example
    fun `every class of requests keeps its minimum share through bursts`() {
        for (case in burstDays) {
            val simulation = simulate(case)
            for (kind in kinds) {
                val name = "${case.name}, ${kind.name}"
                assertThat(simulation.onTimeShare(kind), name).isGreaterThan(HIGHEST_MINIMUM)
            }
        }
    }

    @Example
    fun `a class is not served less often than a less urgent one`() {
        for (case in overloads + burstDays) {
            val simulation = simulate(case)
            kinds.zipWithNext { urgent, other ->
                val lead = simulation.servedShare(urgent) - simulation.servedShare(other)
                assertThat(lead, "${case.name}, ${urgent.name}").isGreaterThan(-ALLOWED_LEAD)
            }
        }
    }

    @Example
    fun `the largest prompts of a class are served at least half as often as all its requests`() {
        for (case in overloads) {
            val simulation = simulate(case)
            for (kind in kinds) {
                val sizes = simulation.calls.filter {
                    it.kind === kind
                }.map { it.promptTokens }.sorted()
                val large = sizes[sizes.size * 9 / 10]
                val served = simulation.servedShare(kind) { it.promptTokens >= large }
                val name = "${case.name}, ${kind.name}"
                assertThat(served, name).isGreaterThan(simulation.servedShare(kind) / 2)
            }
        }
    }

    @Example
    fun `callers that return when told to are refused less often than new ones`() {
        for (case in overloads.filter { it.reportsPace }) {
            val outcomes = simulate(case).outcomes
            for (kind in kinds) {
                if (outcomes.count(kind.rank, isReturning = true) == 0) continue
                val others = outcomes.refusedShare(kind.rank, isReturning = false)
                val returning = outcomes.refusedShare(kind.rank, isReturning = true)
                assertThat(others * MAX_RETURN_RATIO - returning, "${case.name}, ${kind.name}")
                    .isGreaterThan(0.0)
            }
        }
    }

    private fun simulate(case: Case) = LoadSimulation(
        kinds = kinds,
        slowness = servers,
        load = case.load,
        seed = case.seed,
        reportsPace = case.reportsPace
    ).run(SIMULATED_MS)

    private companion object {
        val SEEDS = 1..3
        const val SIMULATED_MS = 34_000L

        // Highest share of its value that the users require for a class of requests.
        const val HIGHEST_MINIMUM = 0.42

        // Margin by which the users allow a less urgent class to be served more often.
        const val ALLOWED_LEAD = 0.05

        // Largest share of refusals of returning callers, as a part of that of others.
        const val MAX_RETURN_RATIO = 0.9
    }
}
