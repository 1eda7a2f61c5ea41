package org.hyssoprack.gateway.forwarding

import assertk.assertThat
import assertk.assertions.endsWith
import assertk.assertions.isEqualTo
import assertk.assertions.startsWith
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import net.jqwik.api.Example
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.ResponsePart
import org.hyssoprack.gateway.ServerConnection
import org.hyssoprack.gateway.forwarding.AttemptResult.Answered
import org.hyssoprack.gateway.forwarding.AttemptResult.Broken
import org.hyssoprack.gateway.forwarding.AttemptResult.Delivered
import org.hyssoprack.gateway.forwarding.AttemptResult.NotRun

class SendTraceTest {
    private val answer = Answered(200, DefaultHttpHeaders(), ByteArray(0))
    private val error = Answered(500, DefaultHttpHeaders(), ByteArray(0))
    private val answered = RequestResult.Answered(answer)
    private val failed = RequestResult.Failed(Failure(ResultCode.STREAM_BROKEN, "closed"))

    @Example
    fun `a send tells its server, connection, status and what became of the response`() {
        class Case(
            val told: String,
            val status: Int?,
            val result: AttemptResult?,
            val end: RequestResult,
            val hasEvents: Boolean = false
        )
        val cases = listOf(
            Case("200-taken", 200, answer, answered),
            Case("500-held", 500, error, answered),
            Case("500-taken", 500, error, RequestResult.Answered(error)),
            Case("500-held", 500, error, failed),
            Case("200-taken", 200, Delivered(200), RequestResult.Delivered(200), hasEvents = true),
            Case("200-lost-part-taken", 200, Broken("closed", true), failed, hasEvents = true),
            Case("200-broken", 200, Broken("no seal"), failed),
            Case("lost", null, Broken("closed", isConnectionLost = true), failed),
            Case("503-not-run", 503, NotRun("refused", arrived = true), answered),
            Case("421-other-server", 421, NotRun("other", true, isOtherServer = true), answered),
            Case("cancelled", null, null, failed),
            Case("200-cancelled-part-taken", 200, null, failed, hasEvents = true)
        )
        for (case in cases) {
            val trace = SendTrace()
            trace.recordSend(SERVER, connection(number = 12, exchangeCount = 3))
            case.status?.let { trace.recordHead(it) }
            if (case.hasEvents) trace.recordEvents()
            case.result?.let { trace.recordResult(it) }
            assertThat(trace.describe(case.end)).isEqualTo("s1#12/3:${case.told}")
        }
    }

    @Example
    fun `skipped responses are counted by reason, and their status is not the request's`() {
        val trace = SendTrace()
        trace.recordSend(SERVER, connection(number = 1, exchangeCount = 1))
        trace.recordSkipped(SkipReason.REST)
        repeat(2) {
            trace.recordHead(200)
            trace.recordSkipped(SkipReason.OTHER_REQUEST)
        }
        trace.recordResult(Broken("closed", isConnectionLost = true))
        assertThat(trace.describe(failed)).isEqualTo("s1#1/1:lost+2other-request+1rest")
        assertThat(trace.skippedCount).isEqualTo(3)
        assertThat(trace.skippedCount(SkipReason.OTHER_REQUEST)).isEqualTo(2)
    }

    @Example
    fun `an attempt that sent nothing leaves the result of the send before it`() {
        val trace = SendTrace()
        trace.recordResult(NotRun("connection refused", arrived = false))
        trace.recordSend(SERVER, connection(number = 1, exchangeCount = 1))
        trace.recordResult(Broken("closed", isConnectionLost = true))
        trace.recordResult(NotRun("connection refused", arrived = false))
        assertThat(trace.describe(failed)).isEqualTo("s1#1/1:lost")
        assertThat(trace.count).isEqualTo(1)
    }

    @Example
    fun `of many sends the first ones and the last are listed`() {
        val trace = SendTrace()
        repeat(MANY - 1) {
            trace.recordSend(SERVER, connection(number = it + 1L, exchangeCount = 1))
            trace.recordHead(503)
            trace.recordResult(NotRun("refused", arrived = true))
        }
        trace.recordSend(SERVER, connection(number = MANY.toLong(), exchangeCount = 1))
        trace.recordHead(200)
        trace.recordResult(answer)
        val told = trace.describe(answered)
        assertThat(told.split(',').size).isEqualTo(SendTrace.MAX_LISTED)
        assertThat(told).startsWith("s1#1/1:503-not-run,s1#2/1:503-not-run,")
        assertThat(told).endsWith("s1#7/1:503-not-run,s1#$MANY/1:200-taken")
        assertThat(trace.count).isEqualTo(MANY)
        assertThat(trace.unlisted).isEqualTo(MANY - SendTrace.MAX_LISTED)
    }

    private fun connection(number: Long, exchangeCount: Int) = object : ServerConnection {
        override val number = number
        override val exchangeCount = exchangeCount

        override fun send(
            method: HttpMethod,
            uri: String,
            headers: HttpHeaders,
            body: ByteArray,
            requestId: String?
        ) = Unit

        override suspend fun next(): ResponsePart = ResponsePart.End

        override fun release(idleMs: Long) = Unit

        override fun close() = Unit
    }

    private companion object {
        val SERVER = BackendServerId("s1")
        const val MANY = 1_000
    }
}
