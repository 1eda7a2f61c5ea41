package org.hyssoprack.host

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.hyssoprack.backend.EngineCall
import org.hyssoprack.backend.EngineClient
import org.hyssoprack.backend.EngineEvent
import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.store.BackendServer

/** Runs one dispatched completion on its engine until the response or the request ends. */
internal class CompletionRun(
    private val request: AdmittedRequest,
    private val server: BackendServer,
    private val engines: EngineClient,
    private val entry: EntryTask,
    private val clock: Clock,
    private val log: EventLog
) {
    private val measurement = RunMeasurement(clock)
    private var finalEvent: EngineEvent? = null
    private var usage = EngineUsage()
    private var interruption: Failure? = null

    /** Runs the completion; [signals] may preempt and resume it. */
    suspend fun run(signals: ReceiveChannel<RequestSignal>, sink: ResponseSink): RequestEnd {
        try {
            coroutineScope {
                val stream = launch { collect(sink) }
                val controls = listOf(
                    launch { handleSignals(signals, stream) },
                    launch { enforceDeadline(stream) }
                )
                stream.join()
                controls.forEach { it.cancel() }
            }
        } catch (e: CancellationException) {
            // A caller that disconnects right after the end has received the complete response.
            if (finalEvent !is EngineEvent.Finished) throw e
        } finally {
            entry.finished(request.id, report())
        }
        return end()
    }

    /** Returns the measurements taken so far. */
    fun report() = measurement.report(usage = usage, failed = isServerFailure())

    private suspend fun collect(sink: ResponseSink) {
        engines.complete(server, engineCall()).collect { event ->
            when (event) {
                EngineEvent.Accepted -> Unit

                is EngineEvent.Token -> {
                    measurement.token()?.let { entry.firstToken(request.id, it) }
                    if (!sink.token(event.data)) callerDisconnected()
                }

                is EngineEvent.Finished -> {
                    usage = event.usage
                    if (!sink.finished(event.usage)) callerDisconnected()
                    finalEvent = event
                }

                is EngineEvent.Failed -> {
                    usage = event.usage
                    finalEvent = event
                }
            }
        }
    }

    private fun callerDisconnected(): Nothing {
        interruption = Failure(ResultCode.CALLER_LEFT_RUNNING, "The caller disconnected.")
        throw CancellationException("caller disconnected")
    }

    private suspend fun handleSignals(signals: ReceiveChannel<RequestSignal>, stream: Job) {
        for (signal in signals) {
            when (signal) {
                is RequestSignal.Preempt -> if (signal.suspend) suspendRun() else preempt(stream)
                RequestSignal.Resume -> resumeRun(stream)
                is RequestSignal.Dispatch, is RequestSignal.Reject -> Unit
            }
        }
    }

    private suspend fun suspendRun() {
        engines.suspendRequest(server, request.id).onRight {
            measurement.suspended()
            entry.suspended(request.id)
            log.event("suspended", *fields())
        }
    }

    private suspend fun resumeRun(stream: Job) {
        repeat(RESUME_TRIES) {
            if (engines.resume(server, request.id).isRight()) {
                measurement.resumed()
                log.event("resumed", *fields())
                return
            }
            delay(RESUME_RETRY_DELAY_MS)
        }
        interrupt(stream, ResultCode.STREAM_BROKEN, "The engine did not resume the request.")
    }

    private suspend fun preempt(stream: Job) {
        log.event("preempted", *fields())
        interrupt(stream, ResultCode.PREEMPTED, "Its slot was reassigned to a higher tier.")
    }

    private suspend fun enforceDeadline(stream: Job) {
        val waiting = request.waiting
        delay(waiting.deadlineAtMs + request.route.deadlineMs - clock.nowMs())
        val detail = "The response exceeded its deadline by ${request.route.deadlineMs} ms."
        interrupt(stream, ResultCode.DEADLINE_PASSED_RUNNING, detail)
    }

    private suspend fun interrupt(stream: Job, code: ResultCode, detail: String) {
        if (finalEvent != null) return
        interruption = Failure(code = code, detail = detail)
        // The end of the stream cancels this coroutine; the cancel call must still be sent.
        withContext(NonCancellable) {
            stream.cancelAndJoin()
            engines.cancel(server, request.id)
        }
    }

    private fun engineCall() = EngineCall(
        requestId = request.id,
        path = request.call.path,
        body = request.call.body.decodeToString(),
        firstTokenTimeoutMs =
        maxOf(MIN_FIRST_TOKEN_TIMEOUT_MS, request.pool.firstTokenTargetMs * TARGET_MULTIPLE),
        tokenTimeoutMs =
        maxOf(MIN_TOKEN_TIMEOUT_MS, request.pool.tokenTargetMs * TARGET_MULTIPLE)
    )

    private fun isServerFailure(): Boolean =
        interruption == null && finalEvent is EngineEvent.Failed

    private fun end(): RequestEnd {
        val failure = when (val last = finalEvent) {
            is EngineEvent.Finished -> null
            is EngineEvent.Failed -> last.failure
            else ->
                interruption
                    ?: Failure(ResultCode.STREAM_BROKEN, "The stream ended without a final event.")
        }
        return RequestEnd(
            failure = failure,
            inTime = clock.nowMs() <= request.waiting.deadlineAtMs,
            dispatched = failure?.code != ResultCode.BACKEND_REFUSED,
            report = report()
        )
    }

    private fun fields() = arrayOf(
        "request" eq request.id,
        "server" eq server.id,
        "tier" eq request.route.tier.name,
        "epoch_ms" eq clock.epochMs()
    )

    private companion object {
        const val MIN_FIRST_TOKEN_TIMEOUT_MS = 10_000L
        const val MIN_TOKEN_TIMEOUT_MS = 2_000L
        const val TARGET_MULTIPLE = 30
        const val RESUME_TRIES = 5
        const val RESUME_RETRY_DELAY_MS = 200L
    }
}
