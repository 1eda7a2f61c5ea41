package org.hyssoprack.client

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.containsExactlyInAnyOrder
import assertk.assertions.hasSize
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isInstanceOf
import assertk.assertions.isTrue
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import java.net.ServerSocket
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject
import net.jqwik.api.Example
import net.jqwik.api.lifecycle.AfterTry
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId

class HyssoprackClientTest {
    private val hosts = listOf(FakeHost("a"), FakeHost("b"))
    private val client = client(hosts.map { it.address })

    init {
        hosts.forEach { it.listedHosts = hosts }
    }

    @AfterTry
    fun close() {
        client.close()
        hosts.forEach { it.close() }
    }

    @Example
    fun `a complete answer is emitted token by token`() {
        val events = complete()
        val tokens = events.filterIsInstance<CompletionEvent.Token>()
        assertThat(tokens.map { it.text }).containsExactly("t0 ", "t1 ")
        val end = events.last() as CompletionEvent.Finished
        assertThat(end.usage.completionTokens).isEqualTo(2)
        val arrival = arrivals().single()
        assertThat(arrival.key).isEqualTo("Bearer secret")
        assertThat(arrival.isFirst).isTrue()
        assertThat(arrival.deadlineMs).isBetween(1, DEADLINE_MS)
        assertThat(hosts.map { it.ref }.contains(RequestId(arrival.id).origin())).isTrue()
    }

    private class BrokenCase(
        val name: String,
        val code: ResultCode,
        val body: (id: String) -> String
    )

    private val brokenCases = listOf(
        BrokenCase("no end marker", ResultCode.STREAM_BROKEN) { token(it, 0) + usage(it, 1) },
        BrokenCase("no token count", ResultCode.STREAM_BROKEN) { token(it, 0) + DONE },
        BrokenCase("a token too few", ResultCode.STREAM_BROKEN) {
            token(it, 0) + usage(it, 2) + DONE
        },
        BrokenCase("a token left out", ResultCode.STREAM_BROKEN) {
            token(it, 0) + token(it, 2) + usage(it, 2) + DONE
        },
        BrokenCase("a token twice", ResultCode.STREAM_BROKEN) {
            token(it, 0) + token(it, 0) + usage(it, 2) + DONE
        },
        BrokenCase("a token after the count", ResultCode.STREAM_BROKEN) {
            token(it, 0) + usage(it, 1) + token(it, 1) + DONE
        },
        BrokenCase("another request's token", ResultCode.ANSWER_MISMATCHED) {
            token(it, 0) + token("other", 1) + usage(it, 2) + DONE
        },
        BrokenCase("no JSON", ResultCode.STREAM_BROKEN) { token(it, 0) + "data: {\n\n" },
        BrokenCase("an error event", ResultCode.PREEMPTED) {
            token(it, 0) + "event: error\ndata: ${errorJson(ResultCode.PREEMPTED)}\n\n"
        }
    )

    @Example
    fun `an incomplete answer has an unknown outcome and is not retried`() {
        for (case in brokenCases) {
            completeAndCheck(answer = { stream(it, case.body(it)) }) { events ->
                val failure = (events.last() as CompletionEvent.Failed).failure
                assertThat(failure.code, name = case.name).isEqualTo(case.code)
                assertThat(failure.code.outcome, name = case.name).isEqualTo(Outcome.UNKNOWN)
                assertThat(arrivals(), name = case.name).hasSize(1)
            }
        }
    }

    @Example
    fun `an answer with another id in its header is refused`() {
        answerFromAllHosts { streamWhole("other") }
        assertThat(failureOf(complete()).code).isEqualTo(ResultCode.ANSWER_MISMATCHED)
        assertThat(arrivals()).hasSize(1)
    }

    private class RefusalCase(val code: ResultCode, val attempts: Int, val key: String? = null)

    private val refusalCases = listOf(
        RefusalCase(ResultCode.QUEUE_FULL, attempts = 3),
        RefusalCase(ResultCode.HOST_STOPPING, attempts = 3),
        RefusalCase(ResultCode.CLAIM_STORE_UNAVAILABLE, attempts = 3),
        RefusalCase(ResultCode.DEADLINE_PASSED_WAITING, attempts = 1),
        RefusalCase(ResultCode.KEY_UNKNOWN, attempts = 1),
        RefusalCase(ResultCode.BODY_INVALID, attempts = 1),
        RefusalCase(ResultCode.FIRST_ATTEMPT_UNKNOWN, attempts = 1),
        RefusalCase(ResultCode.PREEMPTED, attempts = 1),
        RefusalCase(ResultCode.INTERNAL, attempts = 1),
        RefusalCase(ResultCode.BACKEND_FAILED, attempts = 3, key = "k"),
        RefusalCase(ResultCode.CLAIMED_BY_OTHER, attempts = 3, key = "k"),
        RefusalCase(ResultCode.KEY_REUSED, attempts = 1, key = "k")
    )

    @Example
    fun `a call is retried only if the retry cannot make it run twice`() {
        for (case in refusalCases) {
            completeAndCheck(case.key, { refuse(it, case.code) }) { events ->
                val name = "${case.code} ${case.key}"
                assertThat(failureOf(events).code, name = name).isEqualTo(case.code)
                assertThat(arrivals(), name = name).hasSize(case.attempts)
                val keys = arrivals().map { it.idempotencyKey }.toSet()
                assertThat(keys, name = name).isEqualTo(setOf(case.key))
            }
        }
    }

    @Example
    fun `the second attempt goes to another host under an id that names it`() {
        var first = true
        answerFromAllHosts {
            val refuses = first
            first = false
            if (refuses) refuse(it, ResultCode.QUEUE_FULL) else streamWhole(it)
        }
        assertThat(complete().last()).isInstanceOf(CompletionEvent.Finished::class)
        val origins = arrivals().map { RequestId(it.id).origin() }
        assertThat(origins).containsExactlyInAnyOrder(hosts[0].ref, hosts[1].ref)
        assertThat(hosts.map { it.arrivals.size }).containsExactly(1, 1)
        assertThat(arrivals().all { it.isFirst }).isTrue()
    }

    @Example
    fun `after a lost answer the next attempt goes through another host with the same id`() {
        var first = true
        answerFromAllHosts {
            val cuts = first
            first = false
            stream(it, if (cuts) "" else token(it, 0) + usage(it, 1) + DONE)
        }
        assertThat(complete().last()).isInstanceOf(CompletionEvent.Finished::class)
        assertThat(hosts.map { it.arrivals.size }).containsExactly(1, 1)
        assertThat(arrivals().map { it.id }.toSet()).hasSize(1)
        assertThat(arrivals().map { it.isFirst }).containsExactlyInAnyOrder(true, false)
    }

    @Example
    fun `not run after a lost answer is reported as unknown`() {
        var first = true
        answerFromAllHosts {
            val cuts = first
            first = false
            if (cuts) stream(it, "") else refuse(it, ResultCode.HOST_STOPPING)
        }
        assertThat(failureOf(complete()).code).isEqualTo(ResultCode.FIRST_ATTEMPT_UNKNOWN)
    }

    @Example
    fun `a host that cannot be reached is skipped and the retry gets a new id`() {
        val dead = ServerSocket(0).use { NetworkAddress("127.0.0.1", it.localPort) }
        hosts[1].close()
        hosts[0].listedHosts = hosts
        client(listOf(dead, hosts[0].address)).use { client ->
            repeat(10) {
                val events = runBlocking { client.complete(call()).toList() }
                assertThat(events.last()).isInstanceOf(CompletionEvent.Finished::class)
            }
        }
        val origins = hosts[0].arrivals.map { RequestId(it.id).origin() }.toSet()
        assertThat(origins).isEqualTo(setOf(hosts[0].ref))
    }

    @Example
    fun `without a reachable host the outcome is not run`() {
        val dead = ServerSocket(0).use { NetworkAddress("127.0.0.1", it.localPort) }
        client(listOf(dead)).use { client ->
            val events = runBlocking { client.complete(call()).toList() }
            assertThat(failureOf(events).code.outcome).isEqualTo(Outcome.NOT_RUN)
        }
    }

    @Example
    fun `a call is not retried if the delay would pass the deadline`() {
        answerFromAllHosts { refuse(it, ResultCode.QUEUE_FULL, retryAfterMs = DEADLINE_MS * 2) }
        assertThat(failureOf(complete()).code).isEqualTo(ResultCode.QUEUE_FULL)
        assertThat(arrivals()).hasSize(1)
    }

    @Example
    fun `the host list is fetched once within its time to live`() {
        repeat(5) { complete() }
        assertThat(hosts.sumOf { it.listRequests }).isEqualTo(1)
    }

    @Example
    fun `an exception of the collector reaches the caller`() {
        val thrown = runCatching {
            runBlocking { client.complete(call()).collect { error("collector") } }
        }
        assertThat(thrown.exceptionOrNull()?.message).isEqualTo("collector")
        assertThat(arrivals()).hasSize(1)
    }

    @Example
    fun `the answer of a service keeps its own status`() {
        answerFromAllHosts { answerService(it, "1000") }
        val answer = callService(key = null).getOrNull()
        assertThat(answer?.status).isEqualTo(STATUS)
        assertThat(answer?.body?.decodeToString()).isEqualTo("no such kit")
        assertThat(answer?.recorded).isEqualTo(false)
        assertThat(arrivals().single().path).isEqualTo("/v1/services/kits/orders/7")
    }

    @Example
    fun `a recorded answer is marked`() {
        answerFromAllHosts { answerService(it, "1001") }
        assertThat(callService(key = "k").getOrNull()?.recorded).isEqualTo(true)
    }

    @Example
    fun `a service call with a key is retried after a lost answer with the same key`() {
        var first = true
        answerFromAllHosts {
            val fails = first
            first = false
            if (fails) refuse(it, ResultCode.STREAM_BROKEN) else answerService(it, "1001")
        }
        assertThat(callService(key = "k").isRight()).isTrue()
        assertThat(arrivals().map { it.idempotencyKey }).containsExactly("k", "k")
    }

    @Example
    fun `a service call without a key is not retried after an unknown outcome`() {
        answerFromAllHosts { refuse(it, ResultCode.BACKEND_FAILED) }
        assertThat(callService(key = null).isRight()).isFalse()
        assertThat(arrivals()).hasSize(1)
    }

    private suspend fun ApplicationCall.answerService(id: String, code: String) {
        response.header("X-Request-Id", id)
        response.header("X-Result-Code", code)
        respondText("no such kit", status = HttpStatusCode.fromValue(STATUS))
    }

    private fun callService(key: String?) = runBlocking {
        val request = ServiceRequest(
            service = ServiceId("kits"),
            path = "orders/7",
            deadlineMs = DEADLINE_MS,
            idempotencyKey = key?.let(::IdempotencyKey)
        )
        client.call(request)
    }

    private fun completeAndCheck(
        key: String? = null,
        answer: suspend ApplicationCall.(String) -> Unit,
        check: (List<CompletionEvent>) -> Unit
    ) {
        hosts.forEach { it.arrivals.clear() }
        answerFromAllHosts(answer)
        check(complete(key))
    }

    private fun answerFromAllHosts(answer: suspend ApplicationCall.(String) -> Unit) =
        hosts.forEach { it.answer = answer }

    private fun complete(key: String? = null) = runBlocking { client.complete(call(key)).toList() }

    private fun call(key: String? = null) = CompletionCall(
        body = JsonObject(emptyMap()),
        deadlineMs = DEADLINE_MS,
        idempotencyKey = key?.let(::IdempotencyKey)
    )

    private fun failureOf(events: List<CompletionEvent>) =
        (events.last() as CompletionEvent.Failed).failure

    private fun arrivals() = hosts.flatMap { it.arrivals }

    private fun errorJson(code: ResultCode) =
        """{"number":${code.number},"name":"x","outcome":"x","detail":""}"""

    private fun client(seeds: List<NetworkAddress>) =
        HyssoprackClient(seeds, key = "secret", SETTINGS)

    private companion object {
        const val DEADLINE_MS = 20_000L
        val SETTINGS =
            ClientSettings(attempts = 3, firstBackoffMs = 1, connectTimeoutMs = 10_000)
        const val STATUS = 404
    }
}
