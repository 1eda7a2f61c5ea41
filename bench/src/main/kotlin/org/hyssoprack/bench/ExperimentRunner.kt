package org.hyssoprack.bench

import java.nio.file.Path
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.hyssoprack.bench.analysis.LoggedEvent
import org.hyssoprack.bench.deployment.ChildProcess
import org.hyssoprack.bench.deployment.Deployment
import org.hyssoprack.bench.experiment.Experiment
import org.hyssoprack.bench.experiment.FaultStep
import org.hyssoprack.bench.experiment.FleetCapacity
import org.hyssoprack.bench.experiment.PolicyText
import org.hyssoprack.bench.experiment.Variant
import org.hyssoprack.bench.load.Caller
import org.hyssoprack.bench.load.LoadRun
import org.hyssoprack.bench.load.RequestRecord
import org.hyssoprack.bench.load.Schedule
import org.hyssoprack.bench.report.ExperimentReport
import org.hyssoprack.bench.report.VariantReport
import org.hyssoprack.bench.report.VariantSummary
import org.hyssoprack.burn.BurnReport

/**
 * Runs the variants of an experiment one after another, each on a fresh deployment.
 *
 * @param onBurn receives the service-level burn report of the hosts at the end of each variant.
 */
class ExperimentRunner(
    private val experiment: Experiment,
    private val directory: Path,
    private val onBurn: (Variant, BurnReport) -> Unit = { _, _ -> }
) {
    private val capacity = FleetCapacity(experiment)
    private val summary = VariantSummary(experiment, capacity)

    /** Runs the variants named in [only], or all variants if it is empty. */
    fun run(only: List<String>): ExperimentReport {
        val variants = experiment.variants.filter { only.isEmpty() || it.name in only }
        return ExperimentReport(
            experiment = experiment.name,
            description = experiment.description,
            seed = experiment.seed,
            load = experiment.load,
            countedS = experiment.durationS,
            capacityRequestsPerS = capacity.requestsPerS,
            capacityTokensPerS = capacity.tokensPerS,
            variants = variants.map(::run)
        )
    }

    private fun run(variant: Variant): VariantReport {
        val engines = experiment.engines.flatMap { it.settings() }
        val variantDirectory = directory.resolve(variant.name)
        Deployment(directory = variantDirectory, engines = engines, hosts = experiment.hosts).use {
            val accounts = experiment.classes.map { traffic -> traffic.account }.distinct()
            it.activatePolicy(PolicyText.of(experiment, variant), accounts)
            val cpuBefore = cpuMs(it.hosts)
            val records = runBlocking { sendLoad(it, variant) }
            val cpu = cpuMs(it.hosts).mapValues { (name, ms) -> ms - cpuBefore.getValue(name) }
            Thread.sleep(SETTLE_MS)
            it.burn()?.let { burn -> onBurn(variant, burn) }
            return summary.of(
                variant = variant.name,
                records = records,
                engineEvents = events(it.engines),
                hostEvents = events(it.hosts),
                hostCpuMs = cpu
            )
        }
    }

    private suspend fun sendLoad(deployment: Deployment, variant: Variant): List<RequestRecord> {
        val targets = TargetList(deployment)
        delay(MEMBERSHIP_SETTLE_MS)
        targets.refresh()
        val model = experiment.engines.first().model
        Caller(model).use { caller ->
            val background = CoroutineScope(Dispatchers.IO)
            val startNs = System.nanoTime() + START_DELAY_NS
            if (variant.faults) {
                experiment.faults.forEach { step ->
                    background.launch { injectFault(deployment, step, startNs) }
                }
            }
            val refreshing = background.launch { targets.refreshForever() }
            val requests = Schedule(experiment, capacity).draw(variant.classes)
            val run = LoadRun(caller = caller, targets = targets::current, seed = experiment.seed)
            val records = run.run(requests, startNs)
            refreshing.cancel()
            return records
        }
    }

    private suspend fun injectFault(deployment: Deployment, step: FaultStep, startNs: Long) {
        val dueNs = startNs + ((experiment.warmUpS + step.atS) * NS_PER_S).toLong()
        delay(maxOf(0L, (dueNs - System.nanoTime()) / NS_PER_MS))
        val faults = step.faults
        if (faults == null) {
            deployment.kill(step.process)
        } else {
            deployment.setFaults(step.process, faults)
        }
    }

    private fun cpuMs(processes: List<ChildProcess>): Map<String, Long> =
        processes.associate { it.name to it.cpuMs }

    private fun events(processes: List<ChildProcess>): List<LoggedEvent> =
        processes.flatMap { LoggedEvent.read(process = it.name, file = it.log) }

    private companion object {
        const val MEMBERSHIP_SETTLE_MS = 3_000L
        const val SETTLE_MS = 1_000L
        const val START_DELAY_NS = 500_000_000L
        const val NS_PER_S = 1_000_000_000.0
        const val NS_PER_MS = 1_000_000L
    }
}
