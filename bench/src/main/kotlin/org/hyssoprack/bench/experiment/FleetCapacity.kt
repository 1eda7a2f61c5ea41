package org.hyssoprack.bench.experiment

/** Computes the capacity of a fleet of emulated engines for a traffic mix from its settings. */
class FleetCapacity(private val experiment: Experiment) {
    private val totalWeight = experiment.classes.sumOf { it.weight }
    private val promptTokens = mean { it.prompt.mean() - cachedTokens(it) }
    private val answerTokens = mean { it.answer.mean() }

    /** Requests per second of the mix, with all slots in use and all shared prefixes cached. */
    val requestsPerS: Double = perS(promptTokens, answerTokens)

    /** Completion tokens per second of the mix. */
    val tokensPerS: Double = requestsPerS * answerTokens

    /** Returns the offered requests per second of [traffic], without bursts. */
    fun offeredPerS(traffic: TrafficClass): Double =
        requestsPerS * experiment.load * traffic.weight / totalWeight

    /** Returns the time that the whole fleet needs for one request, in seconds. */
    fun fleetSeconds(traffic: TrafficClass, promptTokens: Int, answerTokens: Int): Double {
        val uncached = maxOf(0, promptTokens - cachedTokens(traffic))
        return 1 / perS(uncached.toDouble(), answerTokens.toDouble())
    }

    private fun perS(promptTokens: Double, answerTokens: Double): Double =
        experiment.engines.sumOf { it.count * perS(it, promptTokens, answerTokens) }

    private fun perS(group: EngineGroup, promptTokens: Double, answerTokens: Double): Double {
        val stepMs = group.tokenMs * (1 + group.batchSlowdown * (group.slots - 1))
        val prefillMs = promptTokens * MS_PER_S / group.prefillTokensPerS
        return MS_PER_S / (prefillMs + answerTokens * stepMs / group.slots)
    }

    private fun cachedTokens(traffic: TrafficClass): Int =
        if (traffic.prefixGroups > 0) traffic.prefixTokens else 0

    private fun mean(value: (TrafficClass) -> Double): Double =
        experiment.classes.sumOf { value(it) * it.weight } / totalWeight

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
