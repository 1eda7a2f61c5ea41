package org.hyssoprack.gateway.forwarding

import arrow.core.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Clock
import org.hyssoprack.common.ErrorBody
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.RequestHandler
import org.hyssoprack.gateway.ResponseWriter
import org.hyssoprack.gateway.ServerConnections
import org.hyssoprack.gateway.WireFormat
import org.hyssoprack.gateway.forwarding.slots.QuotaCharge
import org.hyssoprack.gateway.forwarding.slots.SlotClient
import org.hyssoprack.serving.limits.RetryBudget

/** Accepts callers' requests, sends them to backend servers and relays the responses. */
class RequestForwarder(
    private val wire: WireFormat,
    private val connections: ServerConnections,
    private val admission: RequestAdmission,
    private val pools: ServerPools,
    private val slots: SlotClient,
    private val retryBudget: RetryBudget,
    private val telemetry: RequestTelemetry,
    private val clock: Clock,
    log: EventLog,
    private val isRefusing: () -> Boolean = { false }
) : RequestHandler {
    private val statusHandler = ServerStatusHandler(pools, log)
    private val placement =
        RequestPlacement(
            admission = admission,
            parts = pools.parts,
            slots = slots,
            retryBudget = retryBudget,
            connections = connections,
            telemetry = telemetry,
            clock = clock
        )

    /** Number of requests in progress. */
    var inProgress = 0
        private set

    override suspend fun handle(request: CallerRequest, answer: ResponseWriter) {
        inProgress++
        try {
            process(request, answer)
        } finally {
            inProgress--
        }
    }

    private suspend fun process(request: CallerRequest, answer: ResponseWriter) {
        val metadata = wire.readRequest(request.headers).getOrElse {
            return refuse(answer, it, null)
        }
        if (isRefusing()) return refuse(answer, stopping(), metadata.id)
        val call = admission.admit(request, metadata).getOrElse {
            telemetry.recordRejection(metadata, it)
            return refuse(answer, it, metadata.id)
        }
        retryBudget.recordRequest(call.service)
        serve(request, call, answer)
    }

    private suspend fun serve(
        request: CallerRequest,
        call: AdmittedRequest,
        answer: ResponseWriter
    ) {
        val progress = RequestProgress(call.account?.let { QuotaCharge(it, call.quota) }) {
            OwnPartDigest.of(request, call)
        }
        try {
            val leftMs = (call.endMs - clock.nowMs()).coerceAtLeast(1)
            val end = withTimeoutOrNull(leftMs) { tryServers(request, call, answer, progress) }
            val result = withEarlierRun(end ?: timedOut(progress), progress)
            finish(request, call, answer, progress, result)
        } catch (e: CancellationException) {
            if (progress.runs == 0) refund(progress)
            telemetry.recordEnd(call, progress, callerDisconnected(progress))
            throw e
        }
    }

    /** Sends the request to one server after another until its result is final. */
    private suspend fun tryServers(
        request: CallerRequest,
        admitted: AdmittedRequest,
        answer: ResponseWriter,
        progress: RequestProgress
    ): RequestResult {
        val relay = StreamRelay(answer)
        var granted = placement.acquire(request, admitted, progress).getOrElse {
            return RequestResult.Failed(it)
        }
        while (true) {
            val call = granted.call
            val result = attempt(request, granted, progress, relay)
            granted = if (result is AttemptResult.Stalled) {
                result.replacement
            } else {
                resultOf(result, call, progress)?.let { return it }
                placement.acquire(request, call, progress).getOrElse {
                    return RequestResult.Failed(it)
                }
            }
        }
    }

    private suspend fun attempt(
        request: CallerRequest,
        granted: GrantedRequest,
        progress: RequestProgress,
        relay: StreamRelay
    ): AttemptResult = coroutineScope {
        val server = granted.slot.state
        if (progress.grantedMs == null) progress.grantedMs = clock.nowMs()
        progress.triedServers += server.server.id
        progress.limitPerS = server.rateLimit?.perS
        progress.attempts++
        val search = ReplacementSearch(
            scope = this,
            clock = clock,
            isAllowed = { mayFailOver(granted.call, progress) },
            acquire = { placement.acquireReplacement(request, granted.call, progress) },
            giveBack = placement::giveBack
        )
        val attempt = attempt(request, granted, progress, relay, search)
        attempt.run().also {
            progress.sends.recordResult(it)
            if (isForCaller(it, granted.call, progress)) return@also
            telemetry.recordAttempt(granted.call, server.server.id, attempt, it)
        }
    }

    private fun attempt(
        request: CallerRequest,
        granted: GrantedRequest,
        progress: RequestProgress,
        relay: StreamRelay,
        search: ReplacementSearch
    ) = ServerAttempt(
        wire = wire,
        connections = connections,
        clock = clock,
        request = request,
        granted = granted,
        progress = progress,
        relay = relay,
        statusHandler = statusHandler,
        search = search,
        evidence = CrashEvidence(pools.parts.registry, request, granted.call, progress)
    )

    private fun mayFailOver(call: AdmittedRequest, progress: RequestProgress): Boolean =
        mayRunAgain(call, progress) && isRetryAvailable(call)

    /**
     * Returns the caller's result after [result], or null if the request goes to another server.
     */
    private fun resultOf(
        result: AttemptResult,
        call: AdmittedRequest,
        progress: RequestProgress
    ): RequestResult? = when (result) {
        is AttemptResult.Delivered -> RequestResult.Delivered(result.status)
        is AttemptResult.NotRun -> afterNotRun(result, call, progress)
        is AttemptResult.Answered -> afterAnswer(result, call, progress)
        is AttemptResult.Broken -> afterBroken(result, call, progress)
        is AttemptResult.Stalled -> null
    }

    private fun afterNotRun(
        end: AttemptResult.NotRun,
        call: AdmittedRequest,
        progress: RequestProgress
    ): RequestResult? {
        val maxAttempts = if (progress.isStarted) MAX_ATTEMPTS_STARTED else MAX_ATTEMPTS
        val isAllowed = progress.attempts < maxAttempts && (!end.arrived || isRetryAvailable(call))
        if (isAllowed) return null
        if (progress.runs > 0) return RequestResult.Failed(broken(end.reason))
        return RequestResult.Failed(
            Failure(ResultCode.BACKEND_REFUSED, end.reason, REFUSED_RETRY_MS)
        )
    }

    private fun afterAnswer(
        end: AttemptResult.Answered,
        call: AdmittedRequest,
        progress: RequestProgress
    ): RequestResult? {
        progress.heldAnswer = end
        return if (isForCaller(end, call, progress)) RequestResult.Answered(end) else null
    }

    /** Whether [result] is a response for the caller, and not a failure that is retried. */
    private fun isForCaller(
        result: AttemptResult,
        call: AdmittedRequest,
        progress: RequestProgress
    ): Boolean = when (result) {
        is AttemptResult.Delivered -> true
        is AttemptResult.Answered -> result.status < FIRST_FAILURE || !mayFailOver(call, progress)
        else -> false
    }

    private fun afterBroken(
        end: AttemptResult.Broken,
        call: AdmittedRequest,
        progress: RequestProgress
    ): RequestResult? {
        if (mayFailOver(call, progress)) return null
        return RequestResult.Failed(broken(end.reason))
    }

    private fun mayRunAgain(call: AdmittedRequest, progress: RequestProgress): Boolean =
        call.route.kind.mayRunAgain && progress.runs < call.route.maxAttempts

    private fun isRetryAvailable(call: AdmittedRequest) = retryBudget.isAvailable(call.service)

    /**
     * Replaces a result that claims the request did not run if an earlier attempt may have run it.
     */
    private fun withEarlierRun(end: RequestResult, progress: RequestProgress): RequestResult {
        val code = (end as? RequestResult.Failed)?.failure?.code ?: return end
        if (code.outcome != Outcome.NOT_RUN || progress.runs == 0) return end
        val held = progress.heldAnswer ?: return RequestResult.Failed(broken(end.failure.detail))
        return RequestResult.Answered(held)
    }

    private suspend fun finish(
        request: CallerRequest,
        call: AdmittedRequest,
        answer: ResponseWriter,
        progress: RequestProgress,
        end: RequestResult
    ) {
        if (progress.runs == 0) refund(progress)
        telemetry.recordEnd(call, progress, end)
        request.releaseBody()
        when (end) {
            is RequestResult.Delivered -> Unit

            is RequestResult.Answered ->
                if (answer.isStarted) {
                    answer.abort()
                } else {
                    answer.answer(end.answer.status, end.answer.headers, end.answer.body)
                }

            is RequestResult.Failed -> refuse(answer, end.failure, call.metadata.id)
        }
    }

    private suspend fun refuse(answer: ResponseWriter, failure: Failure, id: String?) {
        if (answer.isStarted) return answer.abort()
        val body = ErrorBody.of(failure).json().encodeToByteArray()
        answer.answer(wire.statusOf(failure), wire.failureHeaders(failure, id), body)
    }

    private fun refund(progress: RequestProgress) {
        progress.charge?.let { slots.refund(it) }
    }

    private fun timedOut(progress: RequestProgress): RequestResult = RequestResult.Failed(
        if (progress.runs == 0) {
            Failure(ResultCode.DEADLINE_PASSED_WAITING, "No slot was granted before the deadline.")
        } else {
            Failure(
                ResultCode.DEADLINE_PASSED_RUNNING,
                "The response was not complete before the deadline."
            )
        }
    )

    private fun callerDisconnected(progress: RequestProgress): RequestResult = RequestResult.Failed(
        Failure(
            code = disconnectedCode(progress),
            detail = "The caller closed the connection."
        )
    )

    private fun disconnectedCode(progress: RequestProgress): ResultCode =
        if (progress.runs == 0) ResultCode.CALLER_LEFT else ResultCode.CALLER_LEFT_RUNNING

    private fun broken(reason: String) = Failure(ResultCode.STREAM_BROKEN, reason)

    private fun stopping() =
        Failure(ResultCode.HOST_STOPPING, "This host is shutting down.", STOPPING_RETRY_MS)

    private companion object {
        const val FIRST_FAILURE = 500
        const val MAX_ATTEMPTS = 3

        // A refusal would end a stream that has begun. Bounds the connections to servers that are gone but
        // still registered.
        const val MAX_ATTEMPTS_STARTED = 8
        const val REFUSED_RETRY_MS = 300L

        // Another host accepts the request immediately.
        const val STOPPING_RETRY_MS = 20L
    }
}
