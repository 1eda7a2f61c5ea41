package org.hyssoprack.bench.load

import java.util.Random
import kotlin.math.ln
import org.hyssoprack.bench.experiment.Experiment
import org.hyssoprack.bench.experiment.FleetCapacity
import org.hyssoprack.bench.experiment.TrafficClass

/** Generates the requests of an experiment; the same seed gives the same requests. */
class Schedule(private val experiment: Experiment, private val capacity: FleetCapacity) {
    /** Returns the requests of the classes named in [only], or of all classes, ordered by time. */
    fun draw(only: List<String>? = null): List<PlannedRequest> = experiment.classes
        .flatMapIndexed { index, traffic -> draw(index, traffic) }
        .sortedBy { it.atMs }
        .mapIndexed { number, request -> request.copy(number = number) }
        .filter { only == null || it.traffic.name in only }

    private fun draw(index: Int, traffic: TrafficClass): List<PlannedRequest> {
        val random = Random(experiment.seed * SEED_STRIDE + index)
        val peakFactor = maxOf(1.0, traffic.bursts.maxOfOrNull { it.factor } ?: 1.0)
        val peakPerMs = capacity.offeredPerS(traffic) * peakFactor / MS_PER_S
        val endMs = (experiment.warmUpS + experiment.durationS) * MS_PER_S
        val requests = mutableListOf<PlannedRequest>()
        var atMs = nextGapMs(random, peakPerMs)
        while (atMs < endMs) {
            val countedS = atMs / MS_PER_S - experiment.warmUpS
            // Thinning: draws arrivals at the peak rate, keeps each with probability rate / peak.
            val isKept = random.nextDouble() * peakFactor < traffic.factor(countedS)
            val request = request(random, traffic, atMs)
            if (isKept) requests.add(request)
            atMs += nextGapMs(random, peakPerMs)
        }
        return requests
    }

    private fun request(random: Random, traffic: TrafficClass, atMs: Double): PlannedRequest {
        val hasPrefix = traffic.prefixGroups > 0
        return PlannedRequest(
            number = 0,
            atMs = atMs,
            traffic = traffic,
            promptTokens = traffic.prompt.draw(random),
            answerTokens = traffic.answer.draw(random),
            prefixGroup = if (hasPrefix) random.nextInt(traffic.prefixGroups) else null
        )
    }

    private fun nextGapMs(random: Random, perMs: Double): Double =
        -ln(1 - random.nextDouble()) / perMs

    private companion object {
        const val MS_PER_S = 1_000.0
        const val SEED_STRIDE = 1_000L
    }
}
