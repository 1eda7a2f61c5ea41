package org.hyssoprack.host

import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

class RequestRegistryTest {
    private val clock = ManualClock()
    private val id = RequestId("h1~a~1")
    private val peer = HostId("h2")
    private val otherPeer = HostId("h3")

    private class Case(
        val name: String,
        val waits: Boolean = false,
        val before: suspend RequestRegistry.() -> Unit,
        val begins: Boolean,
        val toPeer: GiveUpResult
    )

    private val cases = listOf(
        Case("never seen", before = {}, begins = true, toPeer = GiveUpResult.GIVEN_UP),
        Case(
            name = "in progress and waiting",
            waits = true,
            before = { begin(id) },
            begins = true,
            toPeer = GiveUpResult.GIVEN_UP
        ),
        Case(
            name = "in progress and dispatched",
            before = { begin(id) },
            begins = false,
            toPeer = GiveUpResult.MAY_HAVE_RUN
        ),
        Case(
            name = "ended without dispatch",
            before = { begin(id).onRight { end(it, mayHaveRun = false) } },
            begins = true,
            toPeer = GiveUpResult.GIVEN_UP
        ),
        Case(
            name = "ended after dispatch",
            before = { begin(id).onRight { end(it, mayHaveRun = true) } },
            begins = false,
            toPeer = GiveUpResult.MAY_HAVE_RUN
        ),
        Case(
            name = "handed over to the same peer",
            before = { handOver(id, peer) },
            begins = false,
            toPeer = GiveUpResult.GIVEN_UP
        ),
        Case(
            name = "handed over to another peer",
            before = { handOver(id, otherPeer) },
            begins = false,
            toPeer = GiveUpResult.MAY_HAVE_RUN
        )
    )

    @Example
    fun `a second attempt begins here only if the first cannot run`() = cases.forEach { case ->
        runBlocking {
            val registry = registry(case)
            val code = registry.begin(id).leftOrNull()?.code
            val expected = if (case.begins) null else ResultCode.FIRST_ATTEMPT_UNKNOWN
            assertThat(code, case.name).isEqualTo(expected)
        }
    }

    @Example
    fun `a peer may run a request only if the attempt here cannot run`() = cases.forEach { case ->
        runBlocking {
            assertThat(registry(case).handOver(id, peer), case.name).isEqualTo(case.toPeer)
        }
    }

    @Example
    fun `an attempt that was given up cannot mark its successor as ended`() = runBlocking {
        var waits = true
        val registry = RequestRegistry(clock, giveUpWaiting = { waits })
        val first = registry.begin(id).getOrNull()!!
        registry.begin(id)
        registry.end(first, mayHaveRun = false)
        waits = false
        assertThat(registry.handOver(id, peer)).isEqualTo(GiveUpResult.MAY_HAVE_RUN)
    }

    @Example
    fun `a first arrival after its id was given up is refused`() = runBlocking {
        val registry = RequestRegistry(clock, giveUpWaiting = { false })
        registry.handOver(id, peer)
        assertThat(registry.begin(id).leftOrNull()?.code)
            .isEqualTo(ResultCode.FIRST_ATTEMPT_UNKNOWN)
    }

    @Example
    fun `ended ids are forgotten after the retention and running ones never`() = runBlocking {
        val registry = RequestRegistry(clock, giveUpWaiting = { false })
        val running = RequestId("h1~a~2")
        registry.begin(running)
        registry.begin(id).onRight { registry.end(it, mayHaveRun = true) }
        clock.advance(RequestRegistry.RETENTION_MS + 1)
        assertThat(registry.begin(id).isRight()).isEqualTo(true)
        assertThat(registry.begin(running).isRight()).isEqualTo(false)
    }

    private suspend fun registry(case: Case): RequestRegistry {
        val registry = RequestRegistry(clock, giveUpWaiting = { case.waits })
        case.before(registry)
        return registry
    }
}
