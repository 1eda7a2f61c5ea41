package org.hyssoprack.backend.http

import assertk.assertThat
import assertk.assertions.contains
import assertk.assertions.isEqualTo
import assertk.assertions.isInstanceOf
import assertk.assertions.isNotNull
import net.jqwik.api.Example
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.ResultCode
import org.hyssoprack.standins.engine.EngineFaults

class HttpEngineClientTest {
    @Example
    fun `responses are complete or end with the correct result code`() {
        cases.forEach { case ->
            EngineFixture().use { fixture ->
                fixture.faults(case.faults)
                val events = fixture.events(case.call)
                check(case, events)
            }
        }
    }

    @Example
    fun `a failed connection attempt is reported as not run`() {
        EngineFixture().use { fixture ->
            fixture.stopEngine()
            val failed = fixture.events(EngineFixture.call()).single() as EngineEvent.Failed
            assertThat(failed.failure.code).isEqualTo(ResultCode.BACKEND_REFUSED)
        }
    }

    @Example
    fun `a call times out if the engine accepts the connection and sends nothing`() {
        java.net.ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress()).use { socket ->
            val server =
                EngineFixture.server(NetworkAddress(ip = "127.0.0.1", port = socket.localPort))
            val call = EngineFixture.call().copy(firstTokenTimeoutMs = 200)
            val events = UnresponsiveServer(socket).events(server, call)
            val failed = events.single() as EngineEvent.Failed
            assertThat(failed.failure.code).isEqualTo(ResultCode.STREAM_SILENT)
        }
    }

    private fun check(case: Case, events: List<EngineEvent>) {
        val tokens = events.filterIsInstance<EngineEvent.Token>()
        assertThat(tokens.map { it.index }, name = case.name)
            .isEqualTo(List(tokens.size) { it })
        tokens.forEach {
            assertThat(it.data, name = case.name).contains("\"mark:${it.index} \"")
        }
        val last = events.last()
        if (case.code == null) {
            assertThat(last, name = "${case.name}: $last").isInstanceOf(EngineEvent.Finished::class)
            assertThat(tokens.size, name = case.name).isEqualTo(TOKENS)
            return
        }
        val failure = (last as EngineEvent.Failed).failure
        assertThat(failure.code, name = case.name).isEqualTo(case.code)
        if (failure.code.outcome == Outcome.NOT_RUN) {
            assertThat(tokens.size, name = case.name).isEqualTo(0)
        }
        assertThat(last.usage, name = case.name).isNotNull()
    }

    private class Case(
        val name: String,
        val faults: EngineFaults = EngineFaults(),
        val code: ResultCode? = null,
        path: String = "/v1/completions"
    ) {
        private val freezes = faults.freezeNext > 0

        // Only a stream that freezes may time out, however slow the machine is.
        val call = EngineFixture.call(
            tokens = TOKENS,
            path = path,
            tokenTimeoutMs = if (freezes) 1_500 else UNHURRIED_MS,
            firstTokenTimeoutMs = if (freezes) 3_000 else UNHURRIED_MS
        )
    }

    private companion object {
        const val TOKENS = 8
        const val UNHURRIED_MS = 60_000L
        val cases = listOf(
            Case("no fault"),
            Case("a chat", path = "/v1/chat/completions"),
            Case("a stream that is cut", EngineFaults(cutNext = 1)),
            Case("a chat that is cut", EngineFaults(cutNext = 1), path = "/v1/chat/completions"),
            Case("a stream that freezes", EngineFaults(freezeNext = 1)),
            Case("a cut before the first token", EngineFaults(cutNext = 1, faultAfterTokens = 0)),
            Case("a token left out", EngineFaults(skipNext = 1)),
            Case("the last token left out", EngineFaults(shortNext = 1)),
            Case(
                "a stream that is cut and cannot be resumed",
                EngineFaults(cutNext = 1, cutReattach = true),
                ResultCode.STREAM_BROKEN
            ),
            Case(
                "a stream that freezes again after it is resumed",
                EngineFaults(freezeNext = 1, freezeReattach = true, faultAfterTokens = 0),
                ResultCode.STREAM_SILENT
            ),
            Case(
                "another request's answer",
                EngineFaults(swapIdNext = 1),
                ResultCode.ANSWER_MISMATCHED
            ),
            Case(
                "another request's chunks",
                EngineFaults(mixNext = 1),
                ResultCode.ANSWER_MISMATCHED
            ),
            Case("an engine's error", EngineFaults(failNext = 1), ResultCode.BACKEND_FAILED),
            Case("a refusal", EngineFaults(refuseNext = 1), ResultCode.BACKEND_REFUSED)
        )
    }
}
