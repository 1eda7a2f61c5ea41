package org.hyssoprack.backend.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentLength
import io.ktor.utils.io.toByteArray
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.backend.LoadReport
import org.hyssoprack.backend.ServiceAnswer
import org.hyssoprack.backend.ServiceCall
import org.hyssoprack.backend.ServiceClient
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/**
 * [ServiceClient] over HTTP.
 *
 * @param connectTimeoutMs timeout for opening a connection.
 * @param controlTimeoutMs timeout of reading a load report.
 */
class HttpServiceClient(
    connectTimeoutMs: Long = CONNECT_TIMEOUT_MS,
    controlTimeoutMs: Long = CONTROL_TIMEOUT_MS
) : ServiceClient,
    AutoCloseable {
    private val client: HttpClient = BackendHttp.client(connectTimeoutMs)
    private val control = ControlClient(client = client, timeoutMs = controlTimeoutMs)

    override suspend fun call(
        server: BackendServer,
        call: ServiceCall
    ): Either<Failure, ServiceAnswer> = try {
        withTimeoutOrNull(call.timeoutMs) { exchange(server, call) } ?: timedOut(server, call)
    } catch (cause: IOException) {
        TransportFailure.of(server, cause, otherwise = ResultCode.STREAM_BROKEN).left()
    }

    override suspend fun load(server: BackendServer): Either<Failure, LoadReport> =
        control.get(server, "/load")

    override fun close() = client.close()

    private suspend fun exchange(
        server: BackendServer,
        call: ServiceCall
    ): Either<Failure, ServiceAnswer> {
        val request = HttpRequestBuilder().apply {
            method = HttpMethod.parse(call.method)
            url(BackendHttp.url(server, call.path))
            header(BackendHttp.REQUEST_ID, call.requestId.value)
            call.idempotencyKey?.let { header(IDEMPOTENCY_KEY, it.value) }
            val type = call.contentType?.let(ContentType::parse)
            if (type != null || call.body.isNotEmpty()) setBody(SingleUseBody(call.body, type))
        }
        return HttpStatement(request, client).execute { read(server, call, it) }
    }

    private suspend fun read(
        server: BackendServer,
        call: ServiceCall,
        response: HttpResponse
    ): Either<Failure, ServiceAnswer> {
        ResponseValidator.serviceFailure(server, call.requestId, response)?.let { return it.left() }
        val body = response.bodyAsChannel().toByteArray()
        val expected = response.contentLength()
        if (expected != null && expected != body.size.toLong()) {
            val detail = "received ${body.size} of $expected bytes of ${call.requestId}"
            return Failure(code = ResultCode.STREAM_BROKEN, detail = detail).left()
        }
        return ServiceAnswer(
            status = response.status.value,
            contentType = response.headers[HttpHeaders.ContentType],
            body = body
        ).right()
    }

    private fun timedOut(server: BackendServer, call: ServiceCall): Either<Failure, Nothing> =
        Failure(
            code = ResultCode.STREAM_SILENT,
            detail = "${server.id} did not respond to ${call.requestId} within ${call.timeoutMs} ms"
        ).left()

    private companion object {
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val CONTROL_TIMEOUT_MS = 2_000L
    }
}
