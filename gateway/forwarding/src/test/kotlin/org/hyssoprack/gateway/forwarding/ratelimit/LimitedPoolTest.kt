package org.hyssoprack.gateway.forwarding.ratelimit

import arrow.core.Either
import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.ServerPool
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerLimitRegistry
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.queue.QueuedRequest

class LimitedPoolTest {
    private val clock = ManualClock(100_000)
    private val limits = ServerLimitRegistry(clock, NoOpEventLog)
    private val pool = ServerPool(
        clock = clock,
        chooser = ServerChooser(FailureDomain("z"), Random(1)),
        limits = limits
    )
    private val fast = registered("fast")
    private val slow = registered("slow")

    @Example
    fun `a request does not wait for a fast server that its limit keeps from it`() {
        pool.update(listOf(fast, slow), spec = null)
        pool.state(fast.id)!!.speed.recordPrompt(tokens = 10_000, firstMs = 112)
        pool.state(slow.id)!!.speed.recordPrompt(tokens = 10_000, firstMs = 10_012)
        val large = WorkEstimate(promptTokens = 10_000, outputTokens = 10)
        assertThat(request(large).granted()).isEqualTo(fast.id)
        limits.recordNamed(fast.instance, perS = 0.1)
        assertThat(request(large).granted()).isEqualTo(slow.id)
    }

    private class Result(var value: Either<Failure, ServerState>? = null) {
        fun granted(): BackendServerId? = value?.getOrNull()?.server?.id
    }

    private fun request(work: WorkEstimate = WorkEstimate(), giveUpMs: Long = 20_000): Result {
        val nowMs = clock.nowMs()
        val request = QueuedRequest(
            service = fast.service,
            work = work,
            rank = 0,
            arrivedMs = nowMs,
            targetMs = 4_000,
            giveUpMs = nowMs + giveUpMs,
            endMs = nowMs + 60_000
        )
        return Result().also { result -> pool.request(request) { result.value = it } }
    }

    private fun registered(id: String) = RegisteredServer(
        id = BackendServerId(id),
        service = ServiceId("s"),
        address = NetworkAddress("10.0.0.1", 80),
        domain = FailureDomain("z"),
        slots = 4
    )
}
