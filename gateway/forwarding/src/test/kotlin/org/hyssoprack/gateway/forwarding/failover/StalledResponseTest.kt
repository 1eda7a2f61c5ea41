package org.hyssoprack.gateway.forwarding.failover

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isNotNull
import assertk.assertions.isNull
import assertk.assertions.isTrue
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import net.jqwik.api.Example
import org.hyssoprack.serving.settings.RouteKind

class StalledResponseTest {
    @Example
    fun `a silent server keeps its response while no other server takes the request`() {
        class Case(
            val name: String,
            val retries: Int = 10,
            val prepare: (ForwardingFixture) -> Unit
        )
        val cases = listOf(
            Case("all other slots are taken") { it.occupyFreeSlots(forMs = 20_000) },
            Case("the budget of retries is used up", retries = 0) {}
        )
        for (case in cases) {
            run(serverCount = 3, retries = case.retries) { host ->
                host.scriptAll { _, response -> streamWithPause(response, pauseMs = 2_500) }
                val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
                delay(1_000)
                case.prepare(host)
                delay(9_000)
                assertThat(response.events, case.name).isEqualTo((1..EVENTS).toList())
                assertThat(response.isComplete, case.name).isTrue()
                assertThat(host.servers.exchanges.size, case.name).isEqualTo(1)
                assertThat(host.queueLength, case.name).isEqualTo(0)
            }
        }
    }

    @Example
    fun `a silent server is given up for a slot of another, and not before`() {
        class Case(val name: String, val occupiedMs: Long, val resumedMs: LongRange)
        val cases = listOf(
            Case("a slot is free", occupiedMs = 0, resumedMs = 1_000L..3_200L),
            Case("a slot becomes free later", occupiedMs = 2_800, resumedMs = 2_800L..3_200L)
        )
        for (case in cases) {
            run(serverCount = 2) { host ->
                host.scriptAll { exchange, response ->
                    streamWithPause(response, pauseMs = if (exchange == 0) SILENT_MS else 0)
                }
                val startMs = host.nowMs
                val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
                delay(10)
                if (case.occupiedMs > 0) host.occupyFreeSlots(forMs = case.occupiedMs)
                delay(8_000)
                assertThat(response.events, case.name).isEqualTo((1..EVENTS).toList())
                assertThat(response.isComplete, case.name).isTrue()
                val (silent, next) = host.servers.exchanges
                assertThat(next.sentMs!! - startMs in case.resumedMs, case.name).isTrue()
                assertThat(next.sentMs!!, case.name).isGreaterThanOrEqualTo(silent.closedMs!!)
                assertThat(host.usedSlots, case.name).isEqualTo(0)
            }
        }
    }

    @Example
    fun `a server that goes on while the request waits for another keeps it`() =
        run(serverCount = 2) { host ->
            host.scriptAll { _, response -> streamWithPause(response, pauseMs = 2_600) }
            val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
            delay(10)
            host.occupyFreeSlots(forMs = 5_000)
            delay(2_650)
            assertThat(host.queueLength).isEqualTo(1)
            delay(200)
            assertThat(host.queueLength).isEqualTo(0)
            delay(6_000)
            assertThat(response.isComplete).isTrue()
            assertThat(host.servers.exchanges.size).isEqualTo(1)
            assertThat(host.usedSlots).isEqualTo(0)
        }

    @Example
    fun `a caller that reads slowly holds no slot of a second server`() =
        run(serverCount = 2) { host ->
            host.scriptAll { _, response -> streamWithPause(response, pauseMs = 1_400) }
            val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
            delay(10)
            host.occupyFreeSlots(forMs = 2_000)
            delay(1_400)
            response.readDelayMs = 2_000
            delay(1_500)
            assertThat(host.usedSlots).isEqualTo(1)
            assertThat(host.queueLength).isEqualTo(0)
        }

    @Example
    fun `an event in two pieces after a long silence does not end its stream`() =
        run(serverCount = 1) { host ->
            host.scriptAll { _, response ->
                response.head()
                response.event(1)
                delay(6_000)
                response.bytes("id: 2\nda")
                delay(5)
                response.bytes("ta: 2\n\n")
                response.end()
            }
            val (response, _) = host.send(RouteKind.STREAM)
            delay(8_000)
            assertThat(response.events).isEqualTo(listOf(1, 2))
            assertThat(response.isComplete).isTrue()
        }

    @Example
    fun `a search for another server that is withdrawn uses up no retry`() =
        run(serverCount = 2, retries = 1) { host ->
            host.scriptAll { exchange, response ->
                response.head()
                response.event(1)
                if (exchange == 0) {
                    delay(WITHDRAWN_MS)
                    response.event(2)
                    delay(500)
                    response.lose()
                } else {
                    response.events(last = 3)
                    response.end()
                }
            }
            val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
            delay(6_000)
            assertThat(response.events.distinct()).isEqualTo(listOf(1, 2, 3))
            assertThat(response.isComplete).isTrue()
        }

    @Example
    fun `a replacement whose server refuses the connection uses up no retry`() =
        run(serverCount = 3, retries = 1) { host ->
            host.servers.refusedOpens = 1..1
            host.scriptAll { exchange, response ->
                streamWithPause(response, pauseMs = if (exchange == 0) SILENT_MS else 0)
            }
            val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
            delay(8_000)
            assertThat(response.events).isEqualTo((1..EVENTS).toList())
            assertThat(response.isComplete).isTrue()
        }

    @Example
    fun `a plain response that a server holds back is not given up without another server`() {
        class Case(val name: String, val occupiedMs: Long, val exchanges: Int)
        val cases = listOf(
            Case("no other slot", occupiedMs = 20_000, exchanges = 1),
            Case("a slot is free", occupiedMs = 0, exchanges = 2)
        )
        for (case in cases) {
            run(serverCount = 2) { host ->
                host.scriptAll { exchange, response ->
                    if (exchange == 0) delay(5_000)
                    response.head()
                    response.end()
                }
                val (response, _) = host.send(RouteKind.SAFE)
                delay(10)
                if (case.occupiedMs > 0) host.occupyFreeSlots(forMs = case.occupiedMs)
                delay(7_000)
                assertThat(response.status, case.name).isEqualTo(200)
                assertThat(host.servers.exchanges.size, case.name).isEqualTo(case.exchanges)
            }
        }
    }

    @Example
    fun `a caller that leaves while its request waits for another server leaves no slot in use`() {
        for (leavesMs in listOf(2_200L, 2_790L, 2_801L, 2_830L)) {
            run(serverCount = 2) { host ->
                host.scriptAll { _, response -> streamWithPause(response, pauseMs = SILENT_MS) }
                val (_, job) = host.send(RouteKind.RESUMABLE_STREAM)
                delay(10)
                host.occupyFreeSlots(forMs = 2_790)
                delay(leavesMs)
                job.cancel()
                delay(1_000)
                assertThat(host.usedSlots, "$leavesMs").isEqualTo(0)
                assertThat(host.queueLength, "$leavesMs").isEqualTo(0)
            }
        }
    }

    @Example
    fun `a silent server of a stream that may not be repeated keeps it to the deadline`() =
        run(serverCount = 2) { host ->
            host.scriptAll { _, response -> streamWithPause(response, pauseMs = 5_000) }
            val (response, _) = host.send(RouteKind.STREAM)
            delay(9_000)
            assertThat(response.isComplete).isTrue()
            assertThat(host.servers.exchanges.single().closedMs).isNull()
            assertThat(host.servers.exchanges.single().sentMs).isNotNull()
        }

    /** Sends the first two events, pauses for [pauseMs], and sends the rest. */
    private suspend fun streamWithPause(response: ScriptedServers.Response, pauseMs: Long) {
        delay(FIRST_EVENT_MS)
        response.head()
        response.events(last = 2)
        delay(pauseMs)
        for (id in maxOf(response.from, 2) + 1..EVENTS) response.event(id)
        response.end()
    }

    private fun run(
        serverCount: Int,
        retries: Int = 10,
        body: suspend TestScope.(ForwardingFixture) -> Unit
    ) = runTest { body(ForwardingFixture(this, serverCount, retries)) }

    private companion object {
        const val EVENTS = 4
        const val FIRST_EVENT_MS = 100L

        /** A search starts after 1,000 ms of silence; its result is taken 20 ms later at most. */
        const val WITHDRAWN_MS = 1_010L

        /** Longer than the deadline of the requests. */
        const val SILENT_MS = 60_000L
    }
}
