package org.hyssoprack.client

import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.network.sockets.SocketTimeoutException
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.hyssoprack.common.CallerHeaders
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** Sends single attempts and maps their errors to a [FailedAttempt]. */
internal class AttemptSender(
    private val http: HttpClient,
    private val bearerKey: String,
    private val settings: ClientSettings,
    private val hostSelector: HostSelector,
    private val clock: Clock
) {
    /**
     * Sends [outgoing] to the host of [attempt] and reads the response with [read].
     *
     * @param read returns null if it read the whole answer, else how the attempt failed.
     * @param tokens returns the number of tokens that [read] has emitted.
     */
    suspend fun send(
        attempt: Attempt,
        outgoing: OutgoingCall,
        remainingMs: Long,
        tokens: () -> Int = { 0 },
        read: suspend (HttpResponse) -> FailedAttempt?
    ): FailedAttempt? {
        val address = attempt.host.address
        hostSelector.callStarted(address)
        val startedMs = clock.nowMs()
        val failed = try {
            withTimeout(remainingMs) {
                request(attempt, outgoing, remainingMs).execute { response ->
                    hostSelector.recordResponseTime(address, clock.nowMs() - startedMs)
                    read(response)
                }
            }
        } catch (e: TimeoutCancellationException) {
            FailedAttempt.Lost(deadlinePassed(remainingMs), tokens())
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            failedAttempt(e, tokens())
        } finally {
            hostSelector.callEnded(address)
        }
        if (failed is FailedAttempt.NotSent || failed is FailedAttempt.Lost) {
            hostSelector.recordFailure(address)
        }
        return failed
    }

    private suspend fun request(attempt: Attempt, outgoing: OutgoingCall, remainingMs: Long) =
        http.prepareRequest {
            url("http://${attempt.host.address}${outgoing.path}")
            method = HttpMethod.parse(outgoing.method)
            header(HttpHeaders.Authorization, "Bearer $bearerKey")
            header(CallerHeaders.REQUEST_ID, attempt.id.value)
            if (attempt.isFirst) header(CallerHeaders.ATTEMPT, "1")
            header(CallerHeaders.DEADLINE, remainingMs.toString())
            outgoing.lane?.let { header(CallerHeaders.LANE, it) }
            outgoing.idempotencyKey?.let { header(CallerHeaders.IDEMPOTENCY_KEY, it.value) }
            body(outgoing)
        }

    private fun HttpRequestBuilder.body(outgoing: OutgoingCall) {
        if (outgoing.body.isEmpty()) return
        setBody(ByteArrayContent(outgoing.body, ContentType.parse(outgoing.contentType)))
    }

    private fun failedAttempt(e: Exception, tokens: Int): FailedAttempt {
        val detail = e.message ?: e::class.simpleName.orEmpty()
        val isNotSent = e is ConnectException ||
            e is ConnectTimeoutException ||
            e is UnresolvedAddressException
        if (isNotSent) return FailedAttempt.NotSent(Failure(ResultCode.HOST_UNREACHABLE, detail))
        val isTimeout = e is SocketTimeoutException
        val code = if (isTimeout) ResultCode.STREAM_SILENT else ResultCode.STREAM_BROKEN
        return FailedAttempt.Lost(Failure(code, detail), tokens)
    }

    private fun deadlinePassed(remainingMs: Long) = Failure(
        ResultCode.DEADLINE_PASSED_RUNNING,
        "the answer was not complete within the remaining $remainingMs ms"
    )
}
