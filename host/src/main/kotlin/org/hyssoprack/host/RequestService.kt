package org.hyssoprack.host

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withContext
import org.hyssoprack.backend.EngineClient
import org.hyssoprack.backend.ServiceClient
import org.hyssoprack.claims.ClaimService
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.scheduling.FinishReport
import org.hyssoprack.store.BackendServer

/**
 * Schedules admitted requests and serves them until they end. Each request runs in the coroutine of
 * its caller.
 */
class RequestService(
    private val self: HostRef,
    private val registry: RequestRegistry,
    private val retries: RetryCoordinator,
    private val entry: EntryTask,
    private val fleet: FleetTracker,
    private val engines: EngineClient,
    private val services: ServiceClient,
    private val claims: ClaimService,
    private val clock: Clock,
    private val log: EventLog,
    private val recorder: OutcomeRecorder
) {
    /** Serves a completion and writes the response to [sink]. */
    suspend fun complete(request: AdmittedRequest, sink: ResponseSink): RequestEnd =
        attempt(request) { signals, server ->
            CompletionRun(request, server, engines, entry, clock, log).run(signals, sink)
        }

    /** Serves a call of a plain service. Returns the response for the caller, or the failure. */
    suspend fun call(request: AdmittedRequest): Either<Failure, ServiceReply> {
        var reply: Either<Failure, ServiceReply>? = null
        val end = attempt(request) { _, server ->
            val run = ServiceRun(request, server, self, services, claims, clock)
            val started = clock.nowMs()
            var finished = FinishReport(firstTokenMs = null, tokenMs = null, failed = true)
            try {
                val result = run.run()
                reply = result
                finished = FinishReport(
                    firstTokenMs = clock.nowMs() - started,
                    tokenMs = null,
                    failed = run.sent && result.isLeft()
                )
                RequestEnd(result.leftOrNull(), inTime(request), dispatched = run.sent)
            } finally {
                entry.finished(request.id, finished)
            }
        }
        val failure = end.failure
        if (failure == null || reply != null) return reply ?: failure!!.left()
        return earlierOutcome(request, failure)
    }

    /**
     * Hands a request over to a peer, which may then run it. Fails with FIRST_ATTEMPT_UNKNOWN if an
     * attempt may have run here.
     */
    suspend fun handOver(id: RequestId, to: HostRef): Either<Failure, Unit> {
        if (registry.handOver(id, to.host) == GiveUpResult.GIVEN_UP) return Unit.right()
        val detail = "An earlier attempt may have run through this host."
        return Failure(ResultCode.FIRST_ATTEMPT_UNKNOWN, detail).left()
    }

    private suspend fun attempt(
        request: AdmittedRequest,
        run: suspend (ReceiveChannel<RequestSignal>, BackendServer) -> RequestEnd
    ): RequestEnd {
        val attemptId = begin(request)
            .fold({ return ended(request, rejected(request, it)) }, { it })
        var mayHaveRun = false
        val signals = entry.submit(request.waiting)
        try {
            val end = when (val decision = awaitDecision(signals)) {
                is RequestSignal.Reject -> rejected(request, decision.failure)

                is RequestSignal.Dispatch -> {
                    mayHaveRun = true
                    val end = dispatch(request, decision, signals, run)
                    mayHaveRun = end.dispatched
                    end
                }

                else -> rejected(
                    request,
                    Failure(ResultCode.GIVEN_UP, "A retry of the request replaced this attempt.")
                )
            }
            return ended(request, end)
        } catch (e: CancellationException) {
            ended(request, callerDisconnected(request, mayHaveRun))
            throw e
        } finally {
            withContext(NonCancellable) { endAttempt(request, attemptId, mayHaveRun) }
        }
    }

    private suspend fun begin(request: AdmittedRequest): Either<Failure, AttemptId> = either {
        if (!request.firstAttempt) retries.takeOver(request.id).bind()
        registry.begin(request.id).bind()
    }

    private suspend fun awaitDecision(signals: ReceiveChannel<RequestSignal>): RequestSignal? {
        for (signal in signals) {
            if (signal is RequestSignal.Reject || signal is RequestSignal.Dispatch) return signal
        }
        return null
    }

    private suspend fun dispatch(
        request: AdmittedRequest,
        decision: RequestSignal.Dispatch,
        signals: ReceiveChannel<RequestSignal>,
        run: suspend (ReceiveChannel<RequestSignal>, BackendServer) -> RequestEnd
    ): RequestEnd {
        val server = fleet.server(decision.server)
        if (server == null) {
            entry.finished(request.id, FinishReport(firstTokenMs = null, tokenMs = null))
            val detail = "The backend server is no longer in the host list."
            return rejected(request, Failure(ResultCode.NO_BACKEND_SERVER, detail))
        }
        log.event("dispatched", *fields(request), "server" eq server.id)
        return run(signals, server)
    }

    private suspend fun endAttempt(request: AdmittedRequest, attemptId: AttemptId, sent: Boolean) {
        // If the caller disconnects before the dispatch signal is read, the request still holds a
        // slot here.
        if (!sent && !entry.giveUp(request.id)) {
            entry.finished(request.id, FinishReport(firstTokenMs = null, tokenMs = null))
        }
        registry.end(attemptId, mayHaveRun = sent)
    }

    private suspend fun earlierOutcome(
        request: AdmittedRequest,
        failure: Failure
    ): Either<Failure, ServiceReply> {
        if (failure.code.outcome != Outcome.NOT_RUN || !request.route.once) return failure.left()
        val server = fleet.fleet.value?.servers?.keys?.firstNotNullOfOrNull(fleet::server)
            ?: return failure.left()
        val run = ServiceRun(request, server, self, services, claims, clock)
        return run.recorded() ?: failure.left()
    }

    private fun rejected(request: AdmittedRequest, failure: Failure): RequestEnd {
        log.event("rejected", *fields(request), "code" eq failure.code.number)
        return RequestEnd(failure = failure, inTime = inTime(request), dispatched = false)
    }

    private fun ended(request: AdmittedRequest, end: RequestEnd): RequestEnd {
        val code = end.failure?.code ?: ResultCode.OK
        log.event(
            "finished",
            *fields(request),
            "code" eq code.number,
            "in_time" eq end.inTime,
            "dispatched" eq end.dispatched,
            "first_token_ms" eq end.report?.firstTokenMs
        )
        recorder.ended(request, end)
        return end
    }

    private fun callerDisconnected(request: AdmittedRequest, running: Boolean): RequestEnd {
        val code = if (running) ResultCode.CALLER_LEFT_RUNNING else ResultCode.CALLER_LEFT
        val failure = Failure(code, "The caller closed the connection.")
        return RequestEnd(failure = failure, inTime = inTime(request), dispatched = running)
    }

    private fun inTime(request: AdmittedRequest) = clock.nowMs() <= request.waiting.deadlineAtMs

    private fun fields(request: AdmittedRequest) = arrayOf(
        "request" eq request.id,
        "account" eq request.account,
        "tier" eq request.route.tier.name,
        "pool" eq request.pool.name,
        "bundle" eq request.bundle,
        "epoch_ms" eq clock.epochMs()
    )
}
