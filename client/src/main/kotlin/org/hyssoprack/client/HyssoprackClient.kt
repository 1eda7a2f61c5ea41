package org.hyssoprack.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.client.statement.readRawBytes
import io.ktor.http.HttpHeaders
import io.ktor.http.isSuccess
import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.hyssoprack.common.CallerHeaders
import org.hyssoprack.common.Clock
import org.hyssoprack.common.ErrorBody
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.SystemClock

/**
 * Client of the callers' API: discovers the entry hosts, selects one per attempt, checks that
 * answers are complete, and retries a call only if the retry cannot make it run twice.
 *
 * @param seeds addresses of some entry hosts, from which the list of all hosts is fetched.
 * @param key bearer key of the client account.
 */
class HyssoprackClient(
    seeds: List<NetworkAddress>,
    key: String,
    private val settings: ClientSettings = ClientSettings(),
    private val clock: Clock = SystemClock,
    private val random: Random = Random.Default
) : AutoCloseable {
    private val http = HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            endpoint.keepAliveTime = KEEP_ALIVE_MS
        }
        install(HttpTimeout) {
            connectTimeoutMillis = settings.connectTimeoutMs
            socketTimeoutMillis = settings.silenceTimeoutMs
        }
    }
    private val directory = HostDirectory(http, seeds, settings, clock, random)
    private val hostSelector = HostSelector(settings, clock, random)
    private val sender = AttemptSender(http, key, settings, hostSelector, clock)

    /** Returns the entry hosts, the best first. Fails with HOST_UNREACHABLE. */
    suspend fun hosts(): Either<Failure, List<EntryHost>> = directory.hosts()

    /** Runs [call]; the flow ends after [CompletionEvent.Finished] or [CompletionEvent.Failed]. */
    fun complete(call: CompletionCall): Flow<CompletionEvent> = flow {
        val failure = try {
            retryWhereSafe(outgoingCall(call)) { attempt, outgoing, remainingMs ->
                val validator = StreamValidator(attempt.id)
                sender.send(attempt, outgoing, remainingMs, { validator.tokens }) { response ->
                    readRefusal(response, attempt.id) ?: readStream(response, validator)
                }
            }
        } catch (e: CollectorFailure) {
            throw e.thrown
        }
        if (failure != null) emit(CompletionEvent.Failed(failure))
    }

    /** Runs [request]. The outcome of a failure's code tells whether the call may have run. */
    suspend fun call(request: ServiceRequest): Either<Failure, ServiceResponse> {
        var answer: ServiceResponse? = null
        val failure = retryWhereSafe(outgoingCall(request)) { attempt, outgoing, remainingMs ->
            sender.send(attempt, outgoing, remainingMs) { response ->
                readRefusal(response, attempt.id) ?: readAnswer(response).let {
                    answer = it
                    null
                }
            }
        }
        return failure?.left() ?: answer?.right() ?: noAnswer().left()
    }

    override fun close() = http.close()

    private suspend fun retryWhereSafe(
        outgoing: OutgoingCall,
        send: suspend (Attempt, OutgoingCall, Long) -> FailedAttempt?
    ): Failure? {
        val plan = RetryPlan(outgoing.idempotencyKey != null, settings, random)
        val endMs = clock.nowMs() + outgoing.deadlineMs
        val tried = mutableSetOf<NetworkAddress>()
        while (true) {
            val host = choose(tried).fold({ return it }, { it })
            tried += host.address
            val attempt = plan.next(host)
            val remainingMs = maxOf(1, endMs - clock.nowMs())
            val failed = send(attempt, outgoing, remainingMs) ?: return null
            if (failed !is FailedAttempt.Refused) directory.expire()
            when (val decision = plan.decide(attempt, failed, endMs - clock.nowMs())) {
                is RetryDecision.RetryAfter -> delay(decision.delayMs)
                is RetryDecision.GiveUp -> return decision.failure
            }
        }
    }

    private suspend fun choose(tried: Set<NetworkAddress>): Either<Failure, EntryHost> =
        directory.hosts().map { hostSelector.choose(it, tried) ?: return noHost().left() }

    private fun noHost() = Failure(ResultCode.HOST_UNREACHABLE, "the host list is empty")

    private fun noAnswer() =
        Failure(ResultCode.INTERNAL, "the attempt ended without an answer or a failure")

    private suspend fun readRefusal(response: HttpResponse, id: RequestId): FailedAttempt? {
        val echoed = response.headers[CallerHeaders.REQUEST_ID]
        val isAnswer = response.headers[CallerHeaders.RESULT] != null || response.status.isSuccess()
        if (echoed != id.value && (isAnswer || echoed != null)) {
            val detail = "the response has request id $echoed; expected ${id.value}"
            return FailedAttempt.Refused(Failure(ResultCode.ANSWER_MISMATCHED, detail))
        }
        if (isAnswer) return null
        return FailedAttempt.Refused(ErrorBody.read(response.bodyAsText()))
    }

    private suspend fun FlowCollector<CompletionEvent>.readStream(
        response: HttpResponse,
        validator: StreamValidator
    ): FailedAttempt? {
        val events = EventStreamReader(response.bodyAsChannel())
        while (true) {
            val event = events.next() ?: return streamCutOff(validator)
            val result = validator.accept(event).fold({ return FailedAttempt.Refused(it) }, { it })
            if (result != null) emitEvent(result)
            if (result is CompletionEvent.Finished) return null
        }
    }

    private fun streamCutOff(validator: StreamValidator): FailedAttempt {
        val failure = Failure(ResultCode.STREAM_BROKEN, "the stream ended without an end marker")
        return FailedAttempt.Lost(failure, validator.tokens)
    }

    private suspend fun FlowCollector<CompletionEvent>.emitEvent(event: CompletionEvent) = try {
        emit(event)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Throwable) {
        throw CollectorFailure(e)
    }

    private suspend fun readAnswer(response: HttpResponse): ServiceResponse = ServiceResponse(
        status = response.status.value,
        body = response.readRawBytes(),
        contentType = response.headers[HttpHeaders.ContentType],
        recorded = response.headers[CallerHeaders.RESULT] == RECORDED
    )

    private fun outgoingCall(call: CompletionCall): OutgoingCall {
        val body = JsonObject(call.body + ("stream" to JsonPrimitive(true)))
        return OutgoingCall(
            path = if (call.chat) "/v1/chat/completions" else "/v1/completions",
            method = "POST",
            body = body.toString().encodeToByteArray(),
            contentType = JSON,
            deadlineMs = call.deadlineMs,
            lane = call.lane,
            idempotencyKey = call.idempotencyKey
        )
    }

    private fun outgoingCall(request: ServiceRequest): OutgoingCall = OutgoingCall(
        path = "/v1/services/${request.service}/${request.path.trimStart('/')}",
        method = request.method,
        body = request.body,
        contentType = request.contentType,
        deadlineMs = request.deadlineMs,
        idempotencyKey = request.idempotencyKey
    )

    private companion object {
        const val JSON = "application/json"
        const val KEEP_ALIVE_MS = 2_000L
        val RECORDED = ResultCode.OK_RECORDED.number.toString()
    }
}
