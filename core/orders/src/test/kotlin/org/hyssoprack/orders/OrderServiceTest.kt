package org.hyssoprack.orders

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isLessThan
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.backend.EngineOrder
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind

class OrderServiceTest {
    private val settings = OrderSettings()
    private val clock = ManualClock()
    private val table = FakeTable()
    private val engine = FakeEngine()
    private val weights = FakeWeights()
    private val first = DesiredState(ModelId("m"), version = "1")
    private val second = DesiredState(ModelId("m"), version = "2")

    private data class TakeOver(
        val name: String,
        val checksFencing: Boolean,
        val released: Boolean,
        val waits: Boolean
    )

    private val takeOvers = listOf(
        TakeOver("held, checked", checksFencing = true, released = false, waits = false),
        TakeOver("released, checked", checksFencing = true, released = true, waits = false),
        TakeOver("held, unchecked", checksFencing = false, released = false, waits = true),
        TakeOver("released, unchecked", checksFencing = false, released = true, waits = false)
    )

    @Example
    fun `a new holder waits for the old term only if the server checks no fencing numbers`() =
        takeOvers.forEach { case ->
            val test = OrderServiceTest()
            test.takeOver(case)
        }

    private fun takeOver(case: TakeOver) = runBlocking {
        val server = server(checksFencing = case.checksFencing)
        val old = service("a")
        old.order(server, first)
        if (case.released) old.release(server)
        val startMs = clock.nowMs()
        assertThat(service("b").order(server, second).getOrNull()?.version).isEqualTo("2")
        val tookMs = clock.nowMs() - startMs
        val termMs = settings.termMs + settings.clockMarginMs
        if (case.waits) assertThat(tookMs, case.name).isGreaterThanOrEqualTo(termMs)
        if (!case.waits) assertThat(tookMs, case.name).isLessThan(termMs)
        assertThat(engine.orders.map { it.fencing.value }).isEqualTo(listOf(1L, 2L))
    }

    @Example
    fun `a holder whose lease expires before it sends the order sends nothing`() = runBlocking {
        val server = server()
        val paused = service("a")
        table.afterWrite = {
            clock.advance(settings.termMs)
            service("b").order(server, second)
        }
        val result = paused.order(server, first)
        assertThat(result.leftOrNull()?.code).isEqualTo(ResultCode.LEASE_HELD)
        assertThat(engine.orders.map { it.version }).isEqualTo(listOf("2"))
    }

    @Example
    fun `a holder paused after its order does not undo the next holder's`() =
        listOf(true, false).forEach { checksFencing ->
            val test = OrderServiceTest()
            test.pausedAfterOrder(checksFencing)
        }

    private fun pausedAfterOrder(checksFencing: Boolean) = runBlocking {
        val server = server(checksFencing)
        engine.beforeStatus = {
            clock.advance(settings.termMs)
            service("b").order(server, second)
        }
        val result = service("a").order(server, first)
        assertThat(result.isLeft()).isEqualTo(true)
        assertThat(engine.status.version).isEqualTo("2")
    }

    @Example
    fun `a former holder's order that arrives late is replaced`() = runBlocking {
        engine.beforeStatus = { engine.applyOrder(lateOrder()) }
        val result = service("a").order(server(), second)
        assertThat(result.getOrNull()?.version).isEqualTo("2")
        assertThat(engine.status.version).isEqualTo("2")
    }

    @Example
    fun `an order that the server refuses by its fencing number fails`() = runBlocking {
        val server = server(checksFencing = true)
        engine.applyOrder(lateOrder().copy(fencing = FencingNumber(9)))
        val result = service("a").order(server, second)
        assertThat(result.leftOrNull()?.code).isEqualTo(ResultCode.ORDER_REFUSED)
    }

    @Example
    fun `a lease write whose reply was lost is resolved by reading the row`() =
        listOf(true to 1, false to 0).forEach { (applies, orders) ->
            val test = OrderServiceTest()
            test.table.loseReplyApplying = applies
            runBlocking { test.service("a").order(server(), first) }
            assertThat(test.engine.orders.size).isEqualTo(orders)
        }

    @Example
    fun `a rate-limited weight store call is retried and its answer cached`() = runBlocking {
        val limited = FakeWeights(limited = 2)
        val service = service("a", limited)
        service.order(server(), DesiredState(ModelId("m")))
        service.order(server(), second)
        assertThat(engine.orders.map { it.version }).isEqualTo(listOf("2", "2"))
        assertThat(limited.calls).isEqualTo(3)
    }

    @Example
    fun `a version that the weight store lacks is refused and no order is sent`() = runBlocking {
        val result = service("a").order(server(), first.copy(version = "9"))
        assertThat(result.leftOrNull()?.code).isEqualTo(ResultCode.ORDER_REFUSED)
        assertThat(engine.orders.size).isEqualTo(0)
    }

    private fun lateOrder() =
        EngineOrder(fencing = FencingNumber(1), model = ModelId("m"), version = "1")

    private fun service(host: String, store: FakeWeights = weights) = DefaultOrderService(
        self = HostRef(HostId(host), Incarnation(1)),
        table = table,
        weights = store,
        engines = engine,
        clock = clock,
        settings = settings,
        pause = { clock.advance(it) }
    )

    private fun server(checksFencing: Boolean = false) = BackendServer(
        id = BackendServerId("e"),
        kind = BackendServerKind.ENGINE,
        address = NetworkAddress(ip = "127.0.0.1", port = 1),
        domain = FailureDomain("d"),
        checksFencing = checksFencing
    )
}
