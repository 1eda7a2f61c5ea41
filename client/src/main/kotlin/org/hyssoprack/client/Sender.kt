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

/** Sends single attempts and tells how they ended. */
internal class Sender(
    private val http: HttpClient,
    private val bearerKey: String,
    private val settings: ClientSettings,
    private val chooser: HostChooser,
    private val clock: Clock
) {
    /**
     * Sends [outgoing] and lets [read] take the answer in.
     *
     * @param read returns how the attempt ended, or null if it brought the whole answer.
     * @param tokens number of tokens that [read] has passed on.
     */
    suspend fun send(
        attempt: Attempt,
        outgoing: OutgoingCall,
        remainingMs: Long,
        tokens: () -> Int = { 0 },
        read: suspend (HttpResponse) -> AttemptEnd?
    ): AttemptEnd? {
        val address = attempt.host.address
        chooser.began(address)
        val startedMs = clock.nowMs()
        val end = try {
            withTimeout(remainingMs) {
                request(attempt, outgoing, remainingMs).execute { response ->
                    chooser.responded(address, clock.nowMs() - startedMs)
                    read(response)
                }
            }
        } catch (e: TimeoutCancellationException) {
            AttemptEnd.Lost(late(), tokens())
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            endOf(e, tokens())
        } finally {
            chooser.ended(address)
        }
        if (end is AttemptEnd.NotSent || end is AttemptEnd.Lost) chooser.failed(address)
        return end
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

    private fun endOf(e: Exception, tokens: Int): AttemptEnd {
        val detail = e.message ?: e::class.simpleName.orEmpty()
        val isNotSent = e is ConnectException ||
            e is ConnectTimeoutException ||
            e is UnresolvedAddressException
        if (isNotSent) return AttemptEnd.NotSent(Failure(ResultCode.HOST_UNREACHABLE, detail))
        val isSilent = e is SocketTimeoutException
        val code = if (isSilent) ResultCode.STREAM_SILENT else ResultCode.STREAM_BROKEN
        return AttemptEnd.Lost(Failure(code, detail), tokens)
    }

    private fun late() = Failure(ResultCode.DEADLINE_PASSED_RUNNING, "no whole answer in time")
}
