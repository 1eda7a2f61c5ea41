package org.hyssoprack.bench.cost

import org.hyssoprack.bench.experiment.EngineGroup
import org.hyssoprack.bench.experiment.Experiment
import org.hyssoprack.bench.experiment.FleetCapacity
import org.hyssoprack.bench.experiment.LengthDistribution
import org.hyssoprack.bench.experiment.TrafficClass
import org.hyssoprack.bench.experiment.Variant
import org.hyssoprack.bench.load.PlannedRequest
import org.hyssoprack.bench.load.Schedule

/**
 * Load for measuring the cost of one host.
 *
 * @param requestsPerS requests per second.
 * @param tokensPerS completion tokens per second, summed over all streams.
 */
internal class CostLoad(
    private val requestsPerS: Double,
    tokensPerS: Double,
    private val warmUpS: Int,
    private val durationS: Int
) {
    private val answerTokens = (tokensPerS / requestsPerS).toInt()
    private val group = EngineGroup(
        count = ENGINES,
        generation = "wide",
        slots = SLOTS,
        prefillTokensPerS = PREFILL_TOKENS_PER_S,
        tokenMs = TOKEN_MS,
        batchSlowdown = 0.0
    )
    private val traffic = TrafficClass(
        name = "all",
        tier = "all",
        account = "all",
        weight = 1.0,
        prompt = LengthDistribution(median = PROMPT_TOKENS, max = PROMPT_TOKENS),
        answer = LengthDistribution(median = answerTokens, max = answerTokens),
        deadlineMs = DEADLINE_MS
    )
    private val unscaled = Experiment(
        name = "host-cost",
        description = "cost of one host",
        hosts = 1,
        warmUpS = warmUpS,
        durationS = durationS,
        topTier = "all",
        policy = POLICY,
        engines = listOf(group),
        classes = listOf(traffic),
        variants = listOf(Variant(name = "direct"), Variant(name = "host"))
    )

    /** Experiment that offers this load. */
    val experiment =
        unscaled.copy(load = requestsPerS / FleetCapacity(unscaled).requestsPerS)

    /** Draws the requests to send. */
    fun requests(): List<PlannedRequest> = Schedule(experiment, FleetCapacity(experiment)).draw()

    companion object {
        private const val ENGINES = 2
        private const val SLOTS = 500
        private const val TOKEN_MS = 20.0
        private const val PREFILL_TOKENS_PER_S = 100_000.0
        private const val PROMPT_TOKENS = 100
        private const val DEADLINE_MS = 60_000L
        private val POLICY = listOf(
            "tier all objective 99%",
            "account all",
            "pool main {",
            "  engines model \"m\"",
            "  first-token 1 s",
            "  between-tokens 100 ms",
            "}",
            "route all {",
            "  tier all",
            "  pool main",
            "  deadline 60 s",
            "}"
        )
    }
}
