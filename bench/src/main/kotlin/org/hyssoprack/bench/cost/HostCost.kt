package org.hyssoprack.bench.cost

import java.nio.file.Path
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.hyssoprack.bench.deployment.Deployment
import org.hyssoprack.bench.load.Caller
import org.hyssoprack.bench.load.CallerTarget
import org.hyssoprack.bench.load.LoadRun
import org.hyssoprack.bench.load.RequestOutcome
import org.hyssoprack.bench.load.RequestRecord
import org.hyssoprack.bench.report.Percentiles

/** Measures the same load sent through one host and sent directly to the engines. */
internal class HostCost(private val load: CostLoad, private val directory: Path) {
    private val experiment = load.experiment

    /** Runs the direct phase first, then the phase through the host. */
    fun run(): List<CostPhase> {
        val engines = experiment.engines.flatMap { it.settings() }
        return Deployment(directory = directory, engines = engines, hosts = 1).use {
            it.activatePolicy(experiment.policy.joinToString("\n"), listOf("all"))
            runBlocking {
                delay(MEMBERSHIP_SETTLE_MS)
                val direct = it.servers.map { server ->
                    CallerTarget(address = server.address.toString(), requestIdPrefix = "direct~a~")
                }
                listOf(phase("direct", direct, it), phase("host", it.targets(), it))
            }
        }
    }

    private suspend fun phase(
        path: String,
        targets: List<CallerTarget>,
        deployment: Deployment
    ): CostPhase {
        val host = deployment.hosts.single()
        val requests = load.requests()
        val startNs = System.nanoTime() + START_DELAY_NS
        val cpuBeforeMs = host.cpuMs
        val records = Caller(experiment.engines.first().model).use { caller ->
            LoadRun(caller = caller, targets = { targets }, seed = 1).run(requests, startNs)
        }
        val elapsedMs = (System.nanoTime() - startNs) / NS_PER_MS
        val cpuShare = (host.cpuMs - cpuBeforeMs) / elapsedMs
        return summarize(path, records.filter { it.planned.atMs >= warmUpMs() }, cpuShare)
    }

    private fun summarize(path: String, records: List<RequestRecord>, cpuShare: Double) = CostPhase(
        path = path,
        requests = records.size,
        whole = records.count { it.outcome == RequestOutcome.GOOD },
        tokensPerS = records.sumOf { it.tokens }.toDouble() / experiment.durationS,
        firstToken = Percentiles.of(records.asSequence().mapNotNull { it.firstTokenMs }),
        betweenTokens = Percentiles.of(
            records.asSequence().flatMap { it.tokenGapsMs.asSequence() }.map { it.toDouble() }
        ),
        cpuShare = cpuShare
    )

    private fun warmUpMs(): Double = experiment.warmUpS * MS_PER_S

    private companion object {
        const val MEMBERSHIP_SETTLE_MS = 3_000L
        const val START_DELAY_NS = 500_000_000L
        const val NS_PER_MS = 1_000_000.0
        const val MS_PER_S = 1_000.0
    }
}
