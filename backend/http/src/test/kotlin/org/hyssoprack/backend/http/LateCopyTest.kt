package org.hyssoprack.backend.http

import arrow.core.Either
import assertk.assertThat
import assertk.assertions.hasSize
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.EngineOrder
import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.backend.ServiceCall
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode

/**
 * Guards against a late copy of a server's response that is taken for the response to the next call:
 * one call is sent on each connection, so a copy finds no call that it could be taken for.
 */
class LateCopyTest {
    @Example
    fun `a copy is not taken for the answer to the same call sent again`() {
        for (method in listOf("POST", "GET")) {
            assertThat(results(method, refusal(ID), answer(ID, "second")), method)
                .isEqualTo(listOf("${ResultCode.BACKEND_REFUSED}", "second"))
            assertThat(results(method, answer(ID, "first"), refusal(ID)), method)
                .isEqualTo(listOf("first", "${ResultCode.BACKEND_REFUSED}"))
        }
    }

    @Example
    fun `a copy of a load report is not taken for the next one`() {
        val replies = (1..CALLS).map { reply("200 OK", """{"running":$it,"queued":0,"ageMs":0}""") }
        CopyingServer(replies).use { server ->
            HttpEngineClient().use { client ->
                val running = replies.map {
                    runBlocking { client.load(server.server) }.getOrNull()?.running
                }
                assertThat(running).isEqualTo((1..CALLS).toList())
            }
            assertOneCallOnEachConnection(server, CALLS)
        }
    }

    @Example
    fun `many calls get their own answers`() {
        val ids = (1..CALLS).map { "h1~a~$it" }
        CopyingServer(ids.map { answer(it, "of $it") }).use { server ->
            HttpServiceClient().use { client ->
                val bodies = ids.map { id ->
                    runBlocking { client.call(server.server, call(id)) }
                        .getOrNull()?.body?.decodeToString()
                }
                assertThat(bodies).isEqualTo(ids.map { "of $it" })
            }
            assertOneCallOnEachConnection(server, CALLS)
        }
    }

    @Example
    fun `a copy of a refusal is not taken for the answer to a completion sent again`() {
        val call = EngineFixture.call(id = "h1~a~1", tokens = 1)
        val replies = listOf(refusal("h1~a~1"), stream("h1~a~1"))
        CopyingServer(replies).use { server ->
            HttpEngineClient().use { client ->
                val first = runBlocking { client.complete(server.server, call).toList() }
                val second = runBlocking { client.complete(server.server, call).toList() }
                val failed = first.last() as EngineEvent.Failed
                assertThat(failed.failure.code).isEqualTo(ResultCode.BACKEND_REFUSED)
                assertThat(second.last()).isEqualTo(EngineEvent.Finished(USAGE))
            }
            assertOneCallOnEachConnection(server, calls = 2)
        }
    }

    @Example
    fun `a copy of a control call's reply is not taken for the reply to the next one`() {
        class Case(
            val name: String,
            val replies: List<String>,
            val second: suspend (HttpEngineClient, CopyingServer) -> Either<Failure, *>,
            val expected: ResultCode?
        )
        val cases = listOf(
            Case(
                "suspend fails after a cancellation that succeeded",
                listOf(reply("200 OK", "{}"), reply("409 Conflict", "{}")),
                { client, it -> client.suspendRequest(it.server, RequestId("h1~a~2")) },
                ResultCode.BACKEND_REFUSED
            ),
            Case(
                "an order is refused after a cancellation that succeeded",
                listOf(reply("200 OK", STATUS), reply("409 Conflict", "{}")),
                { client, it -> client.order(it.server, ORDER) },
                ResultCode.ORDER_REFUSED
            ),
            Case(
                "a resumption succeeds after a cancellation that failed",
                listOf(reply("500 Internal Server Error", "{}"), reply("200 OK", "{}")),
                { client, it -> client.resume(it.server, RequestId("h1~a~2")) },
                expected = null
            )
        )
        for (case in cases) {
            CopyingServer(case.replies).use { server ->
                HttpEngineClient().use { client ->
                    runBlocking { client.cancel(server.server, RequestId("h1~a~1")) }
                    val second = runBlocking { case.second(client, server) }
                    val code = second.leftOrNull()?.code
                    assertThat(code, case.name).isEqualTo(case.expected)
                }
                assertOneCallOnEachConnection(server, calls = 2)
            }
        }
    }

    /** Sends one call twice to a server that gives [replies]; returns both outcomes. */
    private fun results(method: String, vararg replies: String): List<String?> =
        CopyingServer(replies.toList()).use { server ->
            val outcomes = HttpServiceClient().use { client ->
                replies.map {
                    runBlocking { client.call(server.server, call(ID, method)) }
                        .fold({ "${it.code}" }, { it.body.decodeToString() })
                }
            }
            assertOneCallOnEachConnection(server, replies.size)
            outcomes
        }

    private fun assertOneCallOnEachConnection(server: CopyingServer, calls: Int) {
        assertThat(server.callsByConnection.values.filter { it != 1 }).isEmpty()
        assertThat(server.callsByConnection.values).hasSize(calls)
    }

    private fun call(id: String, method: String = "POST") = ServiceCall(
        requestId = RequestId(id),
        method = method,
        path = "/orders/7",
        contentType = "application/json",
        body = if (method == "GET") ByteArray(0) else "{}".toByteArray(),
        timeoutMs = EngineFixture.TEST_LIMIT_MS
    )

    private fun answer(id: String, body: String) = reply("200 OK", body, "X-Request-Id: $id\r\n")

    private fun refusal(id: String) =
        reply("503 Service Unavailable", "{}", "X-Request-Id: $id\r\nX-Admitted: false\r\n")

    private fun stream(id: String): String {
        val token = """{"id":"$id","token_index":0,"choices":[{"text":"a"}]}"""
        val end =
            """{"id":"$id","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}"""
        return reply(
            "200 OK",
            "data: $token\n\ndata: $end\n\ndata: [DONE]\n\n",
            "X-Request-Id: $id\r\n"
        )
    }

    private fun reply(status: String, body: String, headers: String = "") =
        "HTTP/1.1 $status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body"

    private companion object {
        const val ID = "h1~a~1"
        const val CALLS = 20
        const val STATUS = """{"fencing":7,"model":"m","version":"v7"}"""
        val ORDER = EngineOrder(FencingNumber(8), ModelId("m"), version = "v8")
        val USAGE = EngineUsage(promptTokens = 1, completionTokens = 1)
    }
}
