package org.hyssoprack.gateway.forwarding.ratelimit

import arrow.core.Either
import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import kotlin.random.Random
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ResultCode
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

    @Example
    fun `while every server is limited, the rates decide whether a request waits`() {
        class Case(
            val name: String,
            val perS: Double,
            val giveUpMs: Long,
            val waits: Boolean,
            val queued: Int = 0
        )
        val cases = listOf(
            Case("a token within the time", perS = 2.0, giveUpMs = 1_000, waits = true),
            Case("a token too late", perS = 0.5, giveUpMs = 1_000, waits = false),
            Case("others go before it", perS = 2.0, giveUpMs = 1_000, waits = false, queued = 2),
            Case("a very low rate", perS = 0.01, giveUpMs = 30_000, waits = false)
        )
        for (case in cases) {
            val server = registered("b-${case.name}")
            pool.update(listOf(server), spec = null)
            limits.recordNamed(server.instance, case.perS)
            repeat(case.queued) { request(giveUpMs = 60_000) }
            val result = request(giveUpMs = case.giveUpMs)
            assertThat(result.value == null, case.name).isEqualTo(case.waits)
            if (!case.waits) {
                val failure = result.value!!.leftOrNull()!!
                assertThat(failure.code, case.name).isEqualTo(ResultCode.SERVERS_LIMITED)
                assertThat(failure.retryAfterMs!!, case.name)
                    .isGreaterThan((900 / case.perS).toLong() * (case.queued + 1))
            }
            clock.advance(100_000)
            pool.dispatchWaiting()
        }
    }

    @Example
    fun `requests that wait when the last server names a limit are refused if it comes too late`() {
        pool.update(listOf(fast), spec = null)
        repeat(fast.slots) { request() }
        val waiting = List(5) { request(giveUpMs = 2_000) }
        assertThat(waiting.count { it.value == null }).isEqualTo(5)
        limits.recordNamed(fast.instance, perS = 1.0)
        pool.dispatchWaiting()
        assertThat(waiting.count { it.value == null }).isEqualTo(2)
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
