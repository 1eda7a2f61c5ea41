package org.hyssoprack.gateway.forwarding

import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.isEqualTo
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.queue.QueuedRequest

class QueueMetricsTest {
    private val clock = ManualClock(100_000)
    private val service = ServiceId("s")
    private val domain = FailureDomain("z")
    private val registry = SimpleMeterRegistry()
    private val pools =
        ServerPools(clock, ServerChooser(domain, Random(1)), QueueMetrics(registry))

    @Example
    fun `outcomes of slot requests are counted by rank, and a rejection describes the queue`() {
        pools.updateServers(
            listOf(
                RegisteredServer(
                    id = BackendServerId("b"),
                    service = service,
                    address = NetworkAddress("10.0.0.1", 80),
                    domain = domain,
                    slots = 1
                )
            )
        )
        val details = ArrayList<String>()
        for (rank in 0..1) {
            pools[service].request(request(rank)) { result ->
                result.onLeft { details += it.detail }
            }
        }
        clock.advance(500)
        pools.tick()
        assertThat(count(rank = 0, outcome = "granted")).isEqualTo(1)
        assertThat(count(rank = 1, outcome = "deadline-unreachable")).isEqualTo(1)
        assertThat(waitedMs(rank = 1, outcome = "deadline-unreachable")).isEqualTo(500.0)
        assertThat(details.single()).contains("1 of 1 slots are used, 0 of 1 servers are open")
    }

    private fun timer(rank: Int, outcome: String) = registry.get("hyssoprack.queue.wait")
        .tags("service", service.value, "rank", "$rank", "outcome", outcome).timer()

    private fun count(rank: Int, outcome: String): Long = timer(rank, outcome).count()

    private fun waitedMs(rank: Int, outcome: String): Double =
        timer(rank, outcome).totalTime(TimeUnit.MILLISECONDS)

    private fun request(rank: Int) = QueuedRequest(
        service = service,
        work = WorkEstimate(),
        rank = rank,
        arrivedMs = clock.nowMs(),
        targetMs = 400,
        giveUpMs = clock.nowMs() + 500,
        endMs = clock.nowMs() + 10_000
    )
}
