package org.hyssoprack.bench.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readUTF8Line
import java.io.IOException
import java.net.ConnectException
import kotlinx.coroutines.withTimeoutOrNull

/** Sends requests as a caller without retries and records the responses. */
class Caller(private val model: String) : AutoCloseable {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint {
                maxConnectionsPerRoute = MAX_CONNECTIONS
                connectTimeout = CONNECT_TIMEOUT_MS
            }
        }
    }

    /** Sends [planned] to [target]; [intendedNs] is its scheduled time on the nanoTime clock. */
    suspend fun send(
        planned: PlannedRequest,
        target: CallerTarget,
        intendedNs: Long
    ): RequestRecord {
        val recorder =
            RequestRecorder(planned, "${target.requestIdPrefix}${planned.number}", intendedNs)
        val limitMs = planned.traffic.deadlineMs * DEADLINE_MULTIPLE + EXTRA_WAIT_MS
        try {
            withTimeoutOrNull(limitMs) { exchange(planned, target, recorder) }
        } catch (_: ConnectException) {
            recorder.neverSent = true
        } catch (cause: IOException) {
            recorder.transportError = cause.toString()
        }
        return recorder.finish()
    }

    override fun close() = client.close()

    private suspend fun exchange(
        planned: PlannedRequest,
        target: CallerTarget,
        recorder: RequestRecorder
    ) {
        client.preparePost("http://${target.address}/v1/completions") {
            configure(planned, recorder.requestId)
        }.execute { response ->
            if (response.status.isSuccess()) {
                readStream(response, recorder)
            } else {
                recorder.error = ErrorResponse.parse(response.bodyAsText())
            }
        }
    }

    private fun HttpRequestBuilder.configure(planned: PlannedRequest, requestId: String) {
        header("X-Request-Id", requestId)
        header("X-Deadline-Ms", planned.traffic.deadlineMs.toString())
        planned.traffic.lane?.let { header("X-Lane", it) }
        header("Authorization", "Bearer ${AccountKeys.key(planned.traffic.account)}")
        contentType(ContentType.Application.Json)
        setBody(RequestBody.of(planned, model))
    }

    private suspend fun readStream(response: HttpResponse, recorder: RequestRecorder) {
        val input = response.bodyAsChannel()
        while (!recorder.verifier.hasEnded) {
            val line = input.readUTF8Line() ?: return
            if (recorder.verifier.accept(line)) recorder.recordToken()
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 100_000
        const val CONNECT_TIMEOUT_MS = 2_000L
        const val DEADLINE_MULTIPLE = 2
        const val EXTRA_WAIT_MS = 5_000L
    }
}
