package org.hyssoprack.bench.cost

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicLong
import kotlin.io.path.createDirectories
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hyssoprack.backend.EngineCall
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.http.HttpEngineClient
import org.hyssoprack.bench.deployment.EngineFleet
import org.hyssoprack.bench.deployment.Readiness
import org.hyssoprack.bench.load.PlannedRequest
import org.hyssoprack.bench.load.RequestBody
import org.hyssoprack.bench.report.Percentiles
import org.hyssoprack.common.RequestId

/** Measures the cost of [HttpEngineClient] in this process, without a host. */
internal class EngineClientCost(private val load: CostLoad, private val directory: Path) {
    private val firstTokensMs = mutableListOf<Double>()
    private val tokens = AtomicLong()
    private var completed = 0

    /** Sends the load through the client and returns the measurements. */
    fun run(): CostPhase {
        val engines = load.experiment.engines.flatMap { it.settings() }
        EngineFleet(directory.createDirectories(), engines).use { fleet ->
            fleet.servers.forEach { Readiness.awaitOpen(it.address.toString()) }
            return HttpEngineClient().use { client -> runBlocking { measure(client, fleet) } }
        }
    }

    private suspend fun measure(client: HttpEngineClient, fleet: EngineFleet): CostPhase =
        withContext(Dispatchers.Default) {
            val requests = load.requests()
            val startNs = System.nanoTime()
            var countedNs = startNs
            var cpuBeforeNs = 0L
            coroutineScope {
                launch {
                    delay(load.experiment.warmUpS * MS_PER_S)
                    countedNs = System.nanoTime()
                    cpuBeforeNs = cpuNs()
                    tokens.set(0)
                }
                requests.map { planned ->
                    val dueNs = startNs + (planned.atMs * NS_PER_MS).toLong()
                    delay(maxOf(0L, (dueNs - System.nanoTime()) / NS_PER_MS.toLong()))
                    async { send(client, fleet, planned) }
                }.awaitAll()
            }
            val elapsedNs = (System.nanoTime() - countedNs).toDouble()
            CostPhase(
                path = "engine client",
                requests = requests.size,
                whole = completed,
                tokensPerS = tokens.get() / (elapsedNs / NS_PER_S),
                firstToken = Percentiles.of(firstTokensMs.asSequence()),
                betweenTokens = Percentiles.of(emptySequence()),
                cpuShare = (cpuNs() - cpuBeforeNs) / elapsedNs
            )
        }

    private suspend fun send(
        client: HttpEngineClient,
        fleet: EngineFleet,
        planned: PlannedRequest
    ) {
        val server = fleet.servers[planned.number % fleet.servers.size]
        val sentNs = System.nanoTime()
        var count = 0L
        var firstNs = 0L
        var isComplete = false
        client.complete(server, call(planned)).collect { event ->
            if (event is EngineEvent.Token) {
                if (count++ == 0L) firstNs = System.nanoTime()
                tokens.incrementAndGet()
            }
            if (event is EngineEvent.Finished) isComplete = true
        }
        record(isComplete, (firstNs - sentNs) / NS_PER_MS)
    }

    @Synchronized
    private fun record(isComplete: Boolean, firstTokenMs: Double) {
        if (isComplete) completed++
        firstTokensMs.add(firstTokenMs)
    }

    private fun call(planned: PlannedRequest) = EngineCall(
        requestId = RequestId("h1~a~${planned.number}"),
        path = "/v1/completions",
        body = RequestBody.of(planned, model = "m"),
        firstTokenTimeoutMs = TIMEOUT_MS,
        tokenTimeoutMs = TIMEOUT_MS
    )

    private fun cpuNs(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

    private companion object {
        const val TIMEOUT_MS = 10_000L
        const val MS_PER_S = 1_000L
        const val NS_PER_MS = 1_000_000.0
        const val NS_PER_S = 1_000_000_000.0
    }
}
