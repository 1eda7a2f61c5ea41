package org.hyssoprack.bench.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.hyssoprack.backend.http.HttpEngineClient
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind

/** Measures the cost for an owner of polling load reports from backend servers over HTTP. */
internal class PollCapacity {
    private val engines = HttpEngineClient()

    fun measure(): CapacityReport = runBlocking(Dispatchers.Default) {
        run(pollers = WARM_UP_POLLERS)
        val runs = POLLERS.map { run(it) }
        val slopes = listOf(
            slope("load report read: client", "CPU us/s", runs) { it.cpuUsPerSecond },
            slope("load report read: sent and received", "B/s", runs) { it.bytesPerSecond }
        )
        CapacityReport(slopes, figures = emptyList())
    }

    private fun slope(name: String, unit: String, runs: List<PollRun>, y: (PollRun) -> Double) =
        Slope.of(name, "reports/s", unit, runs.map { Point(it.reportsPerSecond, y(it)) })

    private suspend fun run(pollers: Int): PollRun = ReportServer().use { server ->
        val scope = CoroutineScope(Job() + Dispatchers.Default)
        repeat(pollers) { index -> scope.launch { poll(backendServer(index, server.address)) } }
        delay(SETTLE_MS)
        val start = PollTotals.of(server)
        delay(RUN_MS)
        val end = PollTotals.of(server)
        scope.cancel()
        PollRun.between(start, end)
    }

    private suspend fun poll(server: BackendServer) {
        while (true) {
            engines.load(server).onLeft { error(it.toString()) }
            delay(INTERVAL_MS)
        }
    }

    private fun backendServer(index: Int, address: NetworkAddress) = BackendServer(
        id = BackendServerId("backend-server-$index"),
        kind = BackendServerKind.ENGINE,
        address = address,
        domain = FailureDomain("domain-0")
    )

    private companion object {
        val POLLERS = listOf(2, 4, 8, 16, 32)
        const val WARM_UP_POLLERS = 64
        const val INTERVAL_MS = 300L
        const val SETTLE_MS = 2_000L
        const val RUN_MS = 8_000L
    }
}
