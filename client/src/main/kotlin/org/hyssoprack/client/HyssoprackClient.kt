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
 * Client of the callers' API: finds the entry hosts, chooses among them, checks that answers are
 * whole, and sends a call again only where it cannot run twice by that.
 *
 * @param seeds addresses of some entry hosts, asked for the list of all.
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
    private val chooser = HostChooser(settings, clock, random)
    private val sender = Sender(http, key, settings, chooser, clock)

    /** Entry hosts to use, the best first. Fails with HOST_UNREACHABLE. */
    suspend fun hosts(): Either<Failure, List<EntryHost>> = directory.hosts()

    /** Runs [call]; the flow ends after [CompletionEvent.Finished] or [CompletionEvent.Failed]. */
    fun complete(call: CompletionCall): Flow<CompletionEvent> = flow {
        val failure = try {
            repeatWhereSafe(outgoing(call)) { attempt, outgoing, remainingMs ->
                val check = StreamCheck(attempt.id)
                sender.send(attempt, outgoing, remainingMs, { check.tokens }) { response ->
                    refusal(response, attempt.id) ?: readStream(response, check)
                }
            }
        } catch (e: CollectorFailure) {
            throw e.thrown
        }
        if (failure != null) emit(CompletionEvent.Failed(failure))
    }

    /** Runs [request]. The outcome of a failure's code says whether it may have run. */
    suspend fun call(request: ServiceRequest): Either<Failure, ServiceAnswer> {
        var answer: ServiceAnswer? = null
        val failure = repeatWhereSafe(outgoing(request)) { attempt, outgoing, remainingMs ->
            sender.send(attempt, outgoing, remainingMs) { response ->
                refusal(response, attempt.id) ?: readAnswer(response).let {
                    answer = it
                    null
                }
            }
        }
        return failure?.left() ?: answer?.right() ?: noAnswer().left()
    }

    override fun close() = http.close()

    private suspend fun repeatWhereSafe(
        outgoing: OutgoingCall,
        send: suspend (Attempt, OutgoingCall, Long) -> AttemptEnd?
    ): Failure? {
        val plan = RetryPlan(outgoing.idempotencyKey != null, settings, random)
        val endMs = clock.nowMs() + outgoing.deadlineMs
        val tried = mutableSetOf<NetworkAddress>()
        while (true) {
            val host = choose(tried).fold({ return it }, { it })
            tried += host.address
            val attempt = plan.next(host)
            val remainingMs = maxOf(1, endMs - clock.nowMs())
            val end = send(attempt, outgoing, remainingMs) ?: return null
            if (end !is AttemptEnd.Refused) directory.expire()
            when (val step = plan.after(attempt, end, endMs - clock.nowMs())) {
                is RetryStep.Again -> delay(step.delayMs)
                is RetryStep.GiveUp -> return step.failure
            }
        }
    }

    private suspend fun choose(tried: Set<NetworkAddress>): Either<Failure, EntryHost> =
        directory.hosts().map { chooser.choose(it, tried) ?: return noHost().left() }

    private fun noHost() = Failure(ResultCode.HOST_UNREACHABLE, "no entry host is known")

    private fun noAnswer() = Failure(ResultCode.INTERNAL, "the answer is missing")

    private suspend fun refusal(response: HttpResponse, id: RequestId): AttemptEnd? {
        val echoed = response.headers[CallerHeaders.REQUEST_ID]
        val isAnswer = response.headers[CallerHeaders.RESULT] != null || response.status.isSuccess()
        if (echoed != id.value && (isAnswer || echoed != null)) {
            val detail = "the answer carries the id $echoed"
            return AttemptEnd.Refused(Failure(ResultCode.ANSWER_MISMATCHED, detail))
        }
        if (isAnswer) return null
        return AttemptEnd.Refused(ErrorBody.read(response.bodyAsText()))
    }

    private suspend fun FlowCollector<CompletionEvent>.readStream(
        response: HttpResponse,
        check: StreamCheck
    ): AttemptEnd? {
        val events = StreamReader(response.bodyAsChannel())
        while (true) {
            val event = events.next() ?: return cutOff(check)
            val result = check.take(event).fold({ return AttemptEnd.Refused(it) }, { it })
            if (result != null) passOn(result)
            if (result is CompletionEvent.Finished) return null
        }
    }

    private fun cutOff(check: StreamCheck): AttemptEnd {
        val failure = Failure(ResultCode.STREAM_BROKEN, "the stream has no end marker")
        return AttemptEnd.Lost(failure, check.tokens)
    }

    private suspend fun FlowCollector<CompletionEvent>.passOn(event: CompletionEvent) = try {
        emit(event)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Throwable) {
        throw CollectorFailure(e)
    }

    private suspend fun readAnswer(response: HttpResponse): ServiceAnswer = ServiceAnswer(
        status = response.status.value,
        body = response.readRawBytes(),
        contentType = response.headers[HttpHeaders.ContentType],
        recorded = response.headers[CallerHeaders.RESULT] == RECORDED
    )

    private fun outgoing(call: CompletionCall): OutgoingCall {
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

    private fun outgoing(request: ServiceRequest): OutgoingCall = OutgoingCall(
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
