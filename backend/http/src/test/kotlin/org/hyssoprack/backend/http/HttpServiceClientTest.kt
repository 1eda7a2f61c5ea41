package org.hyssoprack.backend.http

import arrow.core.Either
import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.backend.ServiceAnswer
import org.hyssoprack.backend.ServiceCall
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.standins.service.ServiceFaults
import org.hyssoprack.standins.service.ServiceServer
import org.hyssoprack.standins.service.ServiceSettings
import org.hyssoprack.store.BackendServer

class HttpServiceClientTest {
    @Example
    fun `responses are complete or end with the correct result code`() {
        cases.forEach { case ->
            service().use { service ->
                val address = service.start()
                service.setFaults(case.faults)
                val result = call(EngineFixture.server(address), case.timeoutMs)
                assertThat(result.leftOrNull()?.code, name = case.name).isEqualTo(case.code)
                val mayRun = case.code?.outcome != Outcome.NOT_RUN
                if (mayRun) awaitRun(service)
                val runs = service.runs().sumOf { it.count }
                assertThat(runs, name = case.name).isEqualTo(if (mayRun) 1 else 0)
            }
        }
    }

    @Example
    fun `the body, the key and the id arrive unchanged`() {
        service().use { service ->
            val answer = call(EngineFixture.server(service.start())).getOrNull()
            assertThat(answer?.body?.decodeToString()).isEqualTo(BODY)
            val run = service.runs().single()
            assertThat(run.idempotencyKey).isEqualTo("key-1")
            assertThat(run.requestId).isEqualTo("h1~a~1")
            assertThat(run.path).isEqualTo("/orders/7")
        }
    }

    @Example
    fun `a failed connection attempt is reported as not run`() {
        val service = service()
        val server = EngineFixture.server(service.start())
        service.close()
        assertThat(call(server).leftOrNull()?.code).isEqualTo(ResultCode.BACKEND_REFUSED)
    }

    // After a timeout of the caller, the call may reach the service later.
    private fun awaitRun(service: ServiceServer) {
        val endMs = System.currentTimeMillis() + TIMEOUT_MS
        while (service.runs().isEmpty() && System.currentTimeMillis() < endMs) Thread.sleep(10)
    }

    private fun service() =
        ServiceServer(ServiceSettings(address = "127.0.0.1:0", id = BackendServerId("s1")))

    private fun call(
        server: BackendServer,
        timeoutMs: Long = TIMEOUT_MS
    ): Either<Failure, ServiceAnswer> = HttpServiceClient().use { client ->
        val call = ServiceCall(
            requestId = RequestId("h1~a~1"),
            method = "POST",
            path = "/orders/7?part=2",
            contentType = "application/json",
            body = BODY.toByteArray(),
            timeoutMs = timeoutMs,
            idempotencyKey = IdempotencyKey("key-1")
        )
        runBlocking { client.call(server, call) }
    }

    private class Case(
        val name: String,
        val faults: ServiceFaults,
        val code: ResultCode? = null,
        val timeoutMs: Long = TIMEOUT_MS
    )

    private companion object {
        const val BODY = """{"kit":7}"""
        const val TIMEOUT_MS = 30_000L
        const val SHORT_TIMEOUT_MS = 1_500L
        val cases = listOf(
            Case("no fault", ServiceFaults()),
            Case("reply lost", ServiceFaults(loseReplyNext = 1), ResultCode.STREAM_BROKEN),
            Case("answer cut", ServiceFaults(cutNext = 1), ResultCode.STREAM_BROKEN),
            Case("wrong id", ServiceFaults(swapIdNext = 1), ResultCode.ANSWER_MISMATCHED),
            Case("refused", ServiceFaults(refuseNext = 1), ResultCode.BACKEND_REFUSED),
            Case(
                "too slow",
                ServiceFaults(extraLatencyMs = 60_000),
                ResultCode.STREAM_SILENT,
                SHORT_TIMEOUT_MS
            )
        )
    }
}
