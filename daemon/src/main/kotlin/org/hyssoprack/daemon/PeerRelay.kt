package org.hyssoprack.daemon

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.copyTo
import java.io.IOException
import org.hyssoprack.common.CallerHeaders
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.host.AdmittedRequest
import org.hyssoprack.host.RequestService
import org.hyssoprack.membership.Member

/**
 * Relays the calls that a stopping host receives to its peers. A call that may have reached a peer
 * is never relayed again.
 */
internal class PeerRelay(
    private val service: RequestService,
    private val peers: () -> List<Member>,
    private val log: EventLog
) {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout)
    }

    /** Relays [request] to a peer. Responds with HOST_STOPPING if there is none. */
    suspend fun forward(call: ApplicationCall, request: AdmittedRequest) {
        val peer = peers().firstOrNull()
        if (peer == null) {
            val failure = Failure(ResultCode.HOST_STOPPING, "There is no live peer to relay to.")
            return call.respondFailure(failure)
        }
        service.handOver(request.id, peer.ref).onLeft { return call.respondFailure(it) }
        log.event("passed-on", "request" eq request.id, "to" eq peer.ref)
        try {
            relay(call, request, peer)
        } catch (e: IOException) {
            respondRelayFailure(call, peer)
        }
    }

    private suspend fun relay(call: ApplicationCall, request: AdmittedRequest, peer: Member) {
        val source = request.call
        client.prepareRequest("http://${peer.callerAddress}${source.path}") {
            method = HttpMethod.parse(source.method)
            timeout {
                connectTimeoutMillis = CONNECT_TIMEOUT_MS
                requestTimeoutMillis = request.route.deadlineMs * 2
            }
            header(HttpHeaders.Authorization, "Bearer ${source.bearerKey}")
            header(CallerHeaders.REQUEST_ID, request.id.value)
            if (request.firstAttempt) header(CallerHeaders.ATTEMPT, "1")
            source.contentType?.let { header(HttpHeaders.ContentType, it) }
            source.idempotencyKey?.let { header(CallerHeaders.IDEMPOTENCY_KEY, it) }
            source.deadline?.let { header(CallerHeaders.DEADLINE, it) }
            source.lane?.let { header(CallerHeaders.LANE, it) }
            if (method != HttpMethod.Get) setBody(source.body)
        }.execute { answer -> copy(call, answer) }
    }

    private suspend fun copy(call: ApplicationCall, answer: HttpResponse) {
        COPIED_HEADERS.forEach { name ->
            answer.headers[name]?.let { call.response.header(name, it) }
        }
        call.respondBytesWriter(contentType = answer.contentType(), status = answer.status) {
            answer.bodyAsChannel().copyTo(this)
        }
    }

    private suspend fun respondRelayFailure(call: ApplicationCall, peer: Member) {
        if (call.response.isCommitted) return
        val detail = "The connection to ${peer.ref} failed after the request was handed over."
        call.respondFailure(Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, detail))
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        val COPIED_HEADERS =
            listOf(CallerHeaders.BUNDLE, CallerHeaders.RESULT, HttpHeaders.RetryAfter)
    }
}
