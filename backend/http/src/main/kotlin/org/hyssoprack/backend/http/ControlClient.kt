package org.hyssoprack.backend.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.backend.EngineOrder
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/**
 * Client for short calls to backend servers other than completions. A call fails with
 * BACKEND_REFUSED if it certainly had no effect, else with BACKEND_FAILED.
 */
internal class ControlClient(private val client: HttpClient, private val timeoutMs: Long) {
    /** Sends a GET request for [path] and decodes the JSON response. */
    suspend inline fun <reified T> get(server: BackendServer, path: String): Either<Failure, T> =
        when (val reply = send(server, HttpMethod.Get, path)) {
            is Either.Left -> reply
            is Either.Right -> decode(server, reply.value)
        }

    /** Sends a POST request to [path]; status 404 or 409 means that it had no effect. */
    suspend fun post(server: BackendServer, path: String): Either<Failure, Unit> {
        val reply = when (val sent = send(server, HttpMethod.Post, path)) {
            is Either.Left -> return sent
            is Either.Right -> sent.value
        }
        return when (reply.status) {
            HttpStatusCode.OK -> Unit.right()
            HttpStatusCode.NotFound, HttpStatusCode.Conflict ->
                failure(server, ResultCode.BACKEND_REFUSED, reply)

            else -> failure(server, ResultCode.BACKEND_FAILED, reply)
        }
    }

    /** Like [post], but a request unknown to the server (status 404) counts as cancelled. */
    suspend fun cancel(server: BackendServer, path: String): Either<Failure, Unit> {
        val reply = when (val sent = send(server, HttpMethod.Post, path)) {
            is Either.Left -> return sent
            is Either.Right -> sent.value
        }
        val isGone = reply.status.isSuccess() || reply.status == HttpStatusCode.NotFound
        return if (isGone) Unit.right() else failure(server, ResultCode.BACKEND_FAILED, reply)
    }

    /** Sends an order; status 409 means that its fencing number is outdated. */
    suspend fun order(server: BackendServer, order: EngineOrder): Either<Failure, EngineStatus> {
        val sent = send(server, HttpMethod.Post, "/orders", Json.encodeToString(order))
        val reply = when (sent) {
            is Either.Left -> return sent
            is Either.Right -> sent.value
        }
        if (reply.status == HttpStatusCode.Conflict) {
            return failure(server, ResultCode.ORDER_REFUSED, reply)
        }
        return decode(server, reply)
    }

    private suspend fun send(
        server: BackendServer,
        method: HttpMethod,
        path: String,
        body: String? = null
    ): Either<Failure, ControlReply> {
        val request = HttpRequestBuilder().apply {
            this.method = method
            url(BackendHttp.url(server, path))
            if (body !=
                null
            ) {
                setBody(SingleUseBody(body.toByteArray(), ContentType.Application.Json))
            }
        }
        return try {
            withTimeoutOrNull(timeoutMs) { exchange(request) }?.right() ?: timedOut(server)
        } catch (cause: IOException) {
            TransportFailure.of(server, cause, otherwise = ResultCode.BACKEND_FAILED).left()
        }
    }

    private suspend fun exchange(request: HttpRequestBuilder): ControlReply {
        val response = client.request(request)
        return ControlReply(status = response.status, body = response.bodyAsText())
    }

    private inline fun <reified T> decode(
        server: BackendServer,
        reply: ControlReply
    ): Either<Failure, T> {
        if (!reply.status.isSuccess()) return failure(server, ResultCode.BACKEND_FAILED, reply)
        return try {
            JSON.decodeFromString<T>(reply.body).right()
        } catch (_: SerializationException) {
            failure(server, ResultCode.BACKEND_FAILED, reply)
        }
    }

    private fun failure(
        server: BackendServer,
        code: ResultCode,
        reply: ControlReply
    ): Either<Failure, Nothing> {
        val detail = "${server.id} responded with status ${reply.status.value}"
        return Failure(code = code, detail = detail).left()
    }

    private fun timedOut(server: BackendServer): Either<Failure, Nothing> = Failure(
        code = ResultCode.BACKEND_FAILED,
        detail = "${server.id} did not respond within $timeoutMs ms"
    ).left()

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
