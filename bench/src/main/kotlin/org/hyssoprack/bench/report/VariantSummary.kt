package org.hyssoprack.bench.report

import org.hyssoprack.bench.analysis.InversionAudit
import org.hyssoprack.bench.analysis.LoggedEvent
import org.hyssoprack.bench.analysis.PrefillAudit
import org.hyssoprack.bench.experiment.Experiment
import org.hyssoprack.bench.experiment.FleetCapacity
import org.hyssoprack.bench.load.RequestOutcome
import org.hyssoprack.bench.load.RequestRecord

/** Builds the report of a variant from the request records and the logs of all processes. */
class VariantSummary(private val experiment: Experiment, private val capacity: FleetCapacity) {
    private val tierNames = experiment.classes.map { it.tier }.distinct()

    /** Returns the report of [variant]. */
    fun of(
        variant: String,
        records: List<RequestRecord>,
        engineEvents: List<LoggedEvent>,
        hostEvents: List<LoggedEvent>,
        hostCpuMs: Map<String, Long>
    ): VariantReport {
        val counted = records.filter { it.planned.atMs >= experiment.warmUpS * MS_PER_S }
        val prefill = PrefillAudit(engineEvents, hostEvents)
        val inversions = InversionAudit(tierNames, hostEvents)
        val sustained = inversions.inversions(VariantReport.SUSTAINED_MS)
        val tiers = tierNames.map { tier(it, counted) }
        return VariantReport(
            variant = variant,
            tiers = tiers,
            servedShare = servedShare(records),
            prefill = prefill.count(records.associate { it.requestId to it.planned }),
            inversions = inversions.inversions(marginMs = 0).size,
            sustainedInversions = sustained.size,
            firstInversions = sustained.take(MAX_NAMED_INVERSIONS),
            runTwice = prefill.runTwice().size,
            hostCpuMs = hostCpuMs
        )
    }

    // Counts work by its end time, because an overloaded fleet still serves after the last request.
    private fun servedShare(records: List<RequestRecord>): Double {
        val fromMs = experiment.warmUpS * MS_PER_S
        val toMs = fromMs + experiment.durationS * MS_PER_S
        val ended = records.filter {
            it.outcome == RequestOutcome.GOOD && it.planned.atMs + it.endMs in fromMs..toMs
        }
        val fleetSeconds = ended.sumOf {
            capacity.fleetSeconds(
                traffic = it.planned.traffic,
                promptTokens = it.planned.promptTokens,
                answerTokens = it.planned.answerTokens
            )
        }
        return fleetSeconds / experiment.durationS
    }

    private fun tier(name: String, counted: List<RequestRecord>): TierReport {
        val records = counted.filter { it.planned.traffic.tier == name }
        val good = records.filter { it.outcome == RequestOutcome.GOOD }
        return TierReport(
            tier = name,
            offered = records.size,
            outcomes = records.groupingBy { it.outcome }.eachCount(),
            firstToken = Percentiles.of(records.asSequence().mapNotNull { it.firstTokenMs }),
            betweenTokens = Percentiles.of(
                records.asSequence().flatMap { it.tokenGapsMs.asSequence() }.map { it.toDouble() }
            ),
            goodTokens = good.sumOf { it.tokens.toLong() },
            resultCodes = records.mapNotNull { it.resultCode }.groupingBy { it }.eachCount()
        )
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val MAX_NAMED_INVERSIONS = 20
    }
}
