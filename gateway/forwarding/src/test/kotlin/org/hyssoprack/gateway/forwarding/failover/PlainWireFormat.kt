package org.hyssoprack.gateway.forwarding.failover

import arrow.core.Either
import arrow.core.right
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import org.hyssoprack.common.Failure
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.gateway.DispatchMetadata
import org.hyssoprack.gateway.RequestMetadata
import org.hyssoprack.gateway.ResponseMetadata
import org.hyssoprack.gateway.WireFormat
import org.hyssoprack.serving.placement.ReportedLoad

/** [WireFormat] with as few headers as the tests need. */
internal object PlainWireFormat : WireFormat {
    const val KEY = "key"

    /** Shared parts of the prompt, separated by commas. */
    const val PARTS = "parts"

    /** Pace of the server, in percent. */
    const val PACE = "pace"

    override fun readRequest(headers: HttpHeaders): Either<Failure, RequestMetadata> =
        RequestMetadata(
            id = headers[ScriptedServers.REQUEST_ID],
            host = "h",
            key = headers[KEY],
            sharedParts = partsOf(headers).map { PromptPartId(it) }
        ).right()

    /** Returns the shared parts of a prompt that [headers] list. */
    fun partsOf(headers: HttpHeaders): List<String> =
        headers[PARTS].orEmpty().split(',').filter { it.isNotEmpty() }

    override fun dispatchHeaders(callers: HttpHeaders, facts: DispatchMetadata): HttpHeaders =
        DefaultHttpHeaders().set(callers).also { headers ->
            facts.lastEventId?.let { headers.set(ScriptedServers.LAST_EVENT_ID, it) }
        }

    override fun readAnswer(head: HttpResponse) = ResponseMetadata(
        requestId = head.headers()[ScriptedServers.REQUEST_ID],
        isSealed = true,
        isNotRun = false,
        isOtherServer = false,
        load = head.headers().getInt(PACE)?.let {
            ReportedLoad(running = 0, waiting = 0, pacePercent = it)
        }
    )

    override fun answerHeaders(servers: HttpHeaders): HttpHeaders = servers

    override fun statusOf(failure: Failure): Int = failure.code.httpStatus

    override fun failureHeaders(failure: Failure, id: String?): HttpHeaders = DefaultHttpHeaders()
}
