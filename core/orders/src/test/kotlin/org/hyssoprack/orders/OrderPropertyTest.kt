package org.hyssoprack.orders

import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlin.random.Random
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind

class OrderPropertyTest {
    @Property(tries = 2_000, seed = "20261204")
    fun `no holder sends orders to a server without fencing after a later holder did`(
        @ForAll seed: Long
    ) {
        val engine = run(seed)
        val numbers = engine.orders.map { it.fencing }
        assertThat(numbers).isEqualTo(numbers.sorted())
    }

    /** Three hosts send orders while the clock jumps at random between any two of their steps. */
    private fun run(seed: Long): FakeEngine {
        val random = Random(seed)
        val clock = ManualClock()
        val waiting = ArrayList<CompletableDeferred<Unit>>()
        val step: suspend () -> Unit = {
            val gate = CompletableDeferred<Unit>()
            waiting.add(gate)
            gate.await()
        }
        val engine = FakeEngine()
        val table = FakeTable(step)
        val scope = CoroutineScope(Dispatchers.Unconfined + Job())
        repeat(HOSTS) { index ->
            val service = DefaultOrderService(
                self = HostRef(HostId("h$index"), Incarnation(1)),
                table = table,
                weights = FakeWeights(),
                engines = engine,
                clock = clock,
                settings = OrderSettings(callLimitMs = Long.MAX_VALUE),
                pause = { ms ->
                    val untilMs = clock.nowMs() + ms
                    while (clock.nowMs() < untilMs) step()
                }
            )
            scope.launch {
                repeat(ORDERS) {
                    service.order(server, DesiredState(ModelId("m"), version = "${1 + it % 2}"))
                }
            }
        }
        repeat(STEPS) {
            if (waiting.isEmpty()) return@repeat
            if (random.nextInt(JUMP_EVERY) == 0) clock.advance(random.nextLong(MAX_JUMP_MS))
            waiting.removeAt(random.nextInt(waiting.size)).complete(Unit)
        }
        scope.cancel()
        return engine
    }

    private companion object {
        const val HOSTS = 3
        const val ORDERS = 4
        const val STEPS = 400
        const val JUMP_EVERY = 3
        const val MAX_JUMP_MS = 4_000L
        val server = BackendServer(
            id = BackendServerId("e"),
            kind = BackendServerKind.ENGINE,
            address = NetworkAddress(ip = "127.0.0.1", port = 1),
            domain = FailureDomain("d")
        )
    }
}
