package org.hyssoprack.backend.http

import arrow.core.Either
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.prepareGet
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpStatement
import io.ktor.http.ContentType
import io.ktor.http.encodeURLPathPart
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import org.hyssoprack.backend.CacheEvent
import org.hyssoprack.backend.EngineCall
import org.hyssoprack.backend.EngineClient
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.EngineOrder
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.backend.LoadReport
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.SystemClock
import org.hyssoprack.store.BackendServer

/**
 * [EngineClient] over HTTP.
 *
 * @param connectTimeoutMs timeout for opening a connection.
 * @param controlTimeoutMs timeout of calls other than completions.
 */
class HttpEngineClient(
    connectTimeoutMs: Long = CONNECT_TIMEOUT_MS,
    controlTimeoutMs: Long = CONTROL_TIMEOUT_MS,
    private val clock: Clock = SystemClock
) : EngineClient,
    AutoCloseable {
    private val client: HttpClient = BackendHttp.client(connectTimeoutMs)
    private val control = ControlClient(client = client, timeoutMs = controlTimeoutMs)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    override fun complete(server: BackendServer, call: EngineCall): Flow<EngineEvent> = flow {
        val answer = AnswerProgress(call.requestId)
        var isOver = false
        try {
            val last = run(server, call, answer)
            isOver = mayStillRun(last).not()
            emit(last)
        } finally {
            if (!isOver) scope.launch { cancel(server, call.requestId) }
        }
    }

    override suspend fun suspendRequest(
        server: BackendServer,
        requestId: RequestId
    ): Either<Failure, Unit> = control.post(server, requestPath(requestId, "suspend"))

    override suspend fun resume(
        server: BackendServer,
        requestId: RequestId
    ): Either<Failure, Unit> = control.post(server, requestPath(requestId, "resume"))

    override suspend fun cancel(
        server: BackendServer,
        requestId: RequestId
    ): Either<Failure, Unit> = control.cancel(server, requestPath(requestId, "cancel"))

    override suspend fun load(server: BackendServer): Either<Failure, LoadReport> =
        control.get(server, "/load")

    override suspend fun cacheEvents(
        server: BackendServer,
        after: Long
    ): Either<Failure, List<CacheEvent>> = control.get(server, "/cache-events?after=$after")

    override suspend fun order(
        server: BackendServer,
        order: EngineOrder
    ): Either<Failure, EngineStatus> = control.order(server, order)

    override suspend fun status(server: BackendServer): Either<Failure, EngineStatus> =
        control.get(server, "/status")

    override fun close() {
        scope.cancel()
        client.close()
    }

    private suspend fun FlowCollector<EngineEvent>.run(
        server: BackendServer,
        call: EngineCall,
        answer: AnswerProgress
    ): EngineEvent {
        val first = read(server, call, answer, postStatement(server, call))
        if (first is ConnectionEnd.Settled) return first.event
        val broken = (first as ConnectionEnd.Broken).failure
        if (broken.code == ResultCode.BACKEND_REFUSED) return answer.failedBy(broken)
        return resumeStream(server, call, answer) ?: answer.failedBy(broken)
    }

    private suspend fun FlowCollector<EngineEvent>.resumeStream(
        server: BackendServer,
        call: EngineCall,
        answer: AnswerProgress
    ): EngineEvent? {
        var attemptsLeft = RESUME_ATTEMPTS
        while (attemptsLeft > 0) {
            attemptsLeft--
            val received = answer.nextIndex
            val end = read(server, call, answer, resumeStatement(server, call, received))
            if (end is ConnectionEnd.Settled) return settled(end.event)
            if (answer.nextIndex > received) attemptsLeft = RESUME_ATTEMPTS
            delay(RESUME_DELAY_MS)
        }
        return null
    }

    // A refusal to resume means that the engine no longer has the request, not that it never ran.
    private fun settled(event: EngineEvent): EngineEvent? {
        val isRefusal = event is EngineEvent.Failed &&
            event.failure.code == ResultCode.BACKEND_REFUSED
        return event.takeUnless { isRefusal }
    }

    private suspend fun FlowCollector<EngineEvent>.read(
        server: BackendServer,
        call: EngineCall,
        answer: AnswerProgress,
        statement: HttpStatement
    ): ConnectionEnd = AnswerConnection(
        server = server,
        call = call,
        answer = answer,
        collector = this,
        clock = clock
    ).read(statement)

    private suspend fun postStatement(server: BackendServer, call: EngineCall): HttpStatement =
        client.preparePost(BackendHttp.url(server, call.path)) {
            header(BackendHttp.REQUEST_ID, call.requestId.value)
            setBody(SingleUseBody(call.body.toByteArray(), ContentType.Application.Json))
        }

    private suspend fun resumeStatement(
        server: BackendServer,
        call: EngineCall,
        offset: Int
    ): HttpStatement {
        val path = requestPath(call.requestId, "stream")
        val isChat = call.path.contains("/chat/")
        val url = BackendHttp.url(server, "$path?offset=$offset&chat=$isChat")
        return client.prepareGet(url) { header(BackendHttp.REQUEST_ID, call.requestId.value) }
    }

    private fun mayStillRun(last: EngineEvent): Boolean =
        last is EngineEvent.Failed && last.failure.code.outcome == Outcome.UNKNOWN

    private fun requestPath(id: RequestId, action: String): String =
        "/v1/requests/${id.value.encodeURLPathPart()}/$action"

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val CONTROL_TIMEOUT_MS = 2_000L
        const val RESUME_ATTEMPTS = 3
        const val RESUME_DELAY_MS = 100L
    }
}
