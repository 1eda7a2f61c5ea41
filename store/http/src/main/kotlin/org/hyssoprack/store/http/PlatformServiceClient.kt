package org.hyssoprack.store.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.SystemClock

/**
 * HTTP client of one service of the platform. Each call opens its own TCP connection, so that a
 * failure to connect proves that nothing was sent, and each call has a timeout.
 */
class PlatformServiceClient(
    private val address: NetworkAddress,
    private val settings: PlatformSettings = PlatformSettings(),
    clock: Clock = SystemClock
) : AutoCloseable {
    private val breaker = CircuitBreaker(
        clock = clock,
        failures = settings.breakerFailures,
        openMs = settings.breakerOpenMs
    )
    private val client = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        install(HttpTimeout) { connectTimeoutMillis = settings.connectTimeoutMs }
        engine { endpoint.connectAttempts = 1 }
    }

    internal suspend fun get(path: String, timeoutMs: Long = settings.requestTimeoutMs) =
        call(method = HttpMethod.Get, path = path, body = null, timeoutMs = timeoutMs)

    internal suspend fun post(path: String, body: String) = call(
        method = HttpMethod.Post,
        path = path,
        body = body.toByteArray(),
        timeoutMs = settings.requestTimeoutMs
    )

    internal suspend fun put(path: String, body: ByteArray) =
        call(HttpMethod.Put, path = path, body = body, timeoutMs = settings.bodyTimeoutMs)

    override fun close() = client.close()

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        timeoutMs: Long
    ): StoreReply {
        val waitMs = breaker.waitMs()
        if (waitMs > 0) return StoreReply.NotSent(unavailable("circuit breaker is open", waitMs))
        val reply = send(method, path, body, timeoutMs)
        recordOutcome(reply)
        return reply
    }

    private suspend fun send(
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        timeoutMs: Long
    ): StoreReply = try {
        val answer = client.request {
            url(scheme = "http", host = address.ip, port = address.port, path = path)
            this.method = method
            timeout { requestTimeoutMillis = timeoutMs }
            if (body != null) setBody(body)
        }
        StoreReply.Answered(
            status = answer.status.value,
            body = answer.bodyAsBytes(),
            retryAfterMs = answer.headers[HttpHeaders.RetryAfter]?.toLongOrNull()?.times(1_000)
        )
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        StoreReply.NoAnswer(unavailable("the call was cancelled: ${e.message}"))
    } catch (e: ConnectException) {
        StoreReply.NotSent(unavailable("connecting failed: ${e.message}"))
    } catch (e: ConnectTimeoutException) {
        StoreReply.NotSent(unavailable("connecting timed out: ${e.message}"))
    } catch (e: UnresolvedAddressException) {
        StoreReply.NotSent(unavailable("connecting failed: ${e.message}"))
    } catch (e: Exception) {
        StoreReply.NoAnswer(unavailable("no complete response: ${e.message}"))
    }

    private fun recordOutcome(reply: StoreReply) {
        when {
            reply !is StoreReply.Answered -> breaker.recordFailure()
            reply.status == StoreStatus.LIMITED ->
                breaker.recordFailure(reply.retryAfterMs ?: settings.breakerOpenMs)
            reply.status >= StoreStatus.SERVER_FAULT -> breaker.recordFailure()
            else -> breaker.recordSuccess()
        }
    }

    private fun unavailable(detail: String, retryAfterMs: Long = settings.breakerOpenMs) = Failure(
        code = ResultCode.STORE_UNAVAILABLE,
        detail = "Service at $address: $detail",
        retryAfterMs = retryAfterMs
    )
}
