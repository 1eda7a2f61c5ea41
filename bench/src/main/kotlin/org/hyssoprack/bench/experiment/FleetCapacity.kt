package org.hyssoprack.bench.experiment

/** What a fleet of emulated engines can serve of a mix, from the emulators' own parameters. */
class FleetCapacity(private val experiment: Experiment) {
    private val totalWeight = experiment.classes.sumOf { it.weight }
    private val promptTokens = mean { it.prompt.mean() - cachedTokens(it) }
    private val answerTokens = mean { it.answer.mean() }

    /** Requests per second of the mix with every slot in use and every shared prefix cached. */
    val requestsPerS: Double = perS(promptTokens, answerTokens)

    /** Answer tokens per second of the mix. */
    val tokensPerS: Double = requestsPerS * answerTokens

    /** Offered requests per second of [traffic] before bursts. */
    fun offeredPerS(traffic: TrafficClass): Double =
        requestsPerS * experiment.load * traffic.weight / totalWeight

    /** Seconds of the whole fleet that one request takes. */
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
