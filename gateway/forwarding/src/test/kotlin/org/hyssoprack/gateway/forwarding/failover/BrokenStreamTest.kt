package org.hyssoprack.gateway.forwarding.failover

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import net.jqwik.api.Example
import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.settings.RouteKind

class BrokenStreamTest {
    @Example
    fun `a stream that its server breaks off waits for another one as long as its caller does`() {
        class Case(
            val name: String,
            val lostAfterMs: Long,
            val freeAfterMs: Long,
            val isWhole: Boolean
        )
        val cases = listOf(
            Case("broken off soon", lostAfterMs = 100, freeAfterMs = 2_500, isWhole = true),
            Case("broken off late", lostAfterMs = 5_000, freeAfterMs = 7_500, isWhole = true),
            Case("no slot in time", lostAfterMs = 100, freeAfterMs = 9_000, isWhole = false)
        )
        for (case in cases) {
            runTest {
                val host = ForwardingFixture(this, serverCount = 2)
                host.scriptAll { exchange, response ->
                    response.head()
                    if (exchange == 0) breakOff(response, case.lostAfterMs) else finish(response)
                }
                val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
                delay(10)
                host.occupyFreeSlots(forMs = case.freeAfterMs)
                host.occupyOnRelease(forMs = case.freeAfterMs)
                delay(ForwardingFixture.TIMEOUT_MS)
                assertThat(response.isComplete, case.name).isEqualTo(case.isWhole)
                assertThat(response.isAborted, case.name).isEqualTo(!case.isWhole)
                assertThat(host.queueLength, case.name).isEqualTo(0)
            }
        }
    }

    @Example
    fun `a started stream goes ahead of new requests that can be on time`() = runTest {
        val host = ForwardingFixture(this, serverCount = 1)
        host.scriptAll { exchange, response ->
            response.head()
            if (exchange == 0) breakOff(response, lostAfterMs = 400) else delay(50)
            if (exchange > 0) finish(response)
        }
        val (started, _) = host.send(RouteKind.RESUMABLE_STREAM)
        delay(350)
        val others = List(6) { host.send(RouteKind.RESUMABLE_STREAM).first }
        delay(3_000)
        assertThat(started.isComplete).isTrue()
        assertThat(started.events).isEqualTo(listOf(1, 2, 3))
        // The first of the others gets the slot that the broken stream leaves.
        assertThat(host.servers.exchanges[2].from).isEqualTo(2)
        assertThat(others.count { it.isComplete }).isEqualTo(others.size)
    }

    @Example
    fun `a replacement that was found is used although the silent server breaks off`() = runTest {
        val host = ForwardingFixture(this, serverCount = 2)
        host.scriptAll { exchange, response ->
            response.head()
            if (exchange == 0) fallSilent(response, lostAfterMs = 2_650) else finishSlowly(response)
        }
        val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
        delay(10)
        host.servers.openDelayMs = 100
        host.occupyFreeSlots(forMs = 2_600)
        delay(1_990)
        repeat(2) { host.send(RouteKind.RESUMABLE_STREAM) }
        delay(10_000)
        assertThat(response.isComplete).isTrue()
    }

    @Example
    fun `a started stream is not cut because several servers refuse the connection`() = runTest {
        val host = ForwardingFixture(this, serverCount = 5)
        host.servers.refusedOpens = 1..4
        host.scriptAll { exchange, response ->
            response.head()
            if (exchange == 0) breakOff(response, lostAfterMs = 100) else finish(response)
        }
        val (response, _) = host.send(RouteKind.RESUMABLE_STREAM)
        delay(8_000)
        assertThat(response.events).isEqualTo(listOf(1, 2, 3))
        assertThat(response.isComplete).isTrue()
    }

    @Example
    fun `a retry that waits for a slot counts in the window in which it is sent`() = runTest {
        val host = ForwardingFixture(this, serverCount = 2, retries = 1)
        host.scriptAll { _, response ->
            response.head()
            delay(50)
            response.lose()
        }
        host.send(RouteKind.RESUMABLE_STREAM)
        delay(10)
        host.occupyFreeSlots(forMs = 2_500)
        delay(ForwardingFixture.WINDOW_MS)
        assertThat(host.servers.exchanges.count { it.isRepeat }).isEqualTo(1)
        // The window that began with the first break is over, the one of the retry is not.
        delay(1_000)
        host.send(RouteKind.RESUMABLE_STREAM)
        delay(1_000)
        assertThat(host.servers.exchanges.count { it.isRepeat }).isEqualTo(1)
        delay(2_000)
        host.send(RouteKind.RESUMABLE_STREAM)
        delay(1_000)
        assertThat(host.servers.exchanges.count { it.isRepeat }).isEqualTo(2)
    }

    /** Guards against a success whose server had answered with a failure, or had given no event. */
    @Example
    fun `a stream that is broken off before its first event is answered by what follows`() {
        class Case(val name: String, val kind: RouteKind, val next: Int, val status: Int)
        val cases = listOf(
            Case("the next server fails", RouteKind.RESUMABLE_STREAM, next = 500, status = 500),
            Case("the next server succeeds", RouteKind.RESUMABLE_STREAM, next = 200, status = 200),
            Case(
                "it may not run again",
                RouteKind.STREAM,
                next = 200,
                status = ResultCode.STREAM_BROKEN.httpStatus
            )
        )
        for (case in cases) {
            runTest {
                val host = ForwardingFixture(this, serverCount = 2)
                host.scriptAll { exchange, response ->
                    if (exchange > 0) return@scriptAll answer(response, case.next)
                    response.head()
                    response.bytes("id: 1\nda")
                    response.lose()
                }
                val (response, _) = host.send(case.kind)
                delay(ForwardingFixture.TIMEOUT_MS)
                assertThat(response.status, case.name).isEqualTo(case.status)
                assertThat(response.isAborted, case.name).isEqualTo(false)
                assertThat(response.isComplete, case.name).isTrue()
            }
        }
    }

    private fun answer(response: ScriptedServers.Response, status: Int) {
        response.head(status)
        if (status == 200) finish(response) else response.end()
    }

    private suspend fun breakOff(response: ScriptedServers.Response, lostAfterMs: Long) {
        response.event(1)
        delay(lostAfterMs)
        response.event(2)
        response.lose()
    }

    private suspend fun fallSilent(response: ScriptedServers.Response, lostAfterMs: Long) {
        response.event(1)
        delay(lostAfterMs)
        response.lose()
    }

    /** Takes its time with a new stream only, so that its slot stays in use. */
    private suspend fun finishSlowly(response: ScriptedServers.Response) {
        if (response.from == 0) response.events(last = 3, gapMs = 3_000)
        finish(response)
    }

    private fun finish(response: ScriptedServers.Response) {
        for (id in response.from + 1..3) response.event(id)
        response.end()
    }
}
