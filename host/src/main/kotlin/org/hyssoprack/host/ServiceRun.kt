package org.hyssoprack.host

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.Base64
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.hyssoprack.backend.ServiceAnswer
import org.hyssoprack.backend.ServiceCall
import org.hyssoprack.backend.ServiceClient
import org.hyssoprack.claims.Claim
import org.hyssoprack.claims.ClaimKey
import org.hyssoprack.claims.ClaimResult
import org.hyssoprack.claims.ClaimService
import org.hyssoprack.claims.RecordedOutcome
import org.hyssoprack.common.Clock
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.Outcome
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/**
 * Runs one dispatched call of a plain service. A call that must not be repeated is claimed first.
 */
internal class ServiceRun(
    private val request: AdmittedRequest,
    private val server: BackendServer,
    private val self: HostRef,
    private val services: ServiceClient,
    private val claims: ClaimService,
    private val clock: Clock
) {
    /** Whether anything was sent to the backend server. */
    var sent = false
        private set

    /** Runs the call. A claimed call continues even if the caller disconnects. */
    suspend fun run(): Either<Failure, ServiceReply> {
        val key = request.idempotencyKey ?: return callService().map(::newReply)
        val result = withContext(NonCancellable) { claims.claim(claimKey(key), bodyHash(), self) }
        return when (result) {
            is ClaimResult.Granted -> withContext(NonCancellable) { runClaimed(result.claim) }
            is ClaimResult.Recorded -> recordedReply(result.outcome)
            is ClaimResult.Denied -> result.failure.left()
        }
    }

    /**
     * Returns the recorded result of an earlier attempt, for a call that is rejected before
     * dispatch. Returns null if there is none.
     */
    suspend fun recorded(): Either<Failure, ServiceReply>? {
        val key = request.idempotencyKey ?: return null
        return when (val result = claims.recorded(claimKey(key), bodyHash())) {
            is ClaimResult.Recorded -> recordedReply(result.outcome)
            is ClaimResult.Denied -> result.failure.left()
            is ClaimResult.Granted, null -> null
        }
    }

    private suspend fun runClaimed(claim: Claim): Either<Failure, ServiceReply> {
        val answer = callService()
        answer.fold(
            { failure -> recordFailure(claim, failure) },
            { claims.record(claim, outcome(it)) }
        )
        return answer.map(::newReply)
    }

    private suspend fun recordFailure(claim: Claim, failure: Failure) {
        if (failure.code.outcome == Outcome.NOT_RUN) return claims.release(claim)
        claims.record(claim, RecordedOutcome(code = failure.code.number))
    }

    private suspend fun callService(): Either<Failure, ServiceAnswer> {
        sent = true
        val remainingMs = request.waiting.deadlineAtMs - clock.nowMs()
        val call = ServiceCall(
            requestId = request.id,
            method = request.call.method,
            path = request.servicePath ?: "/",
            contentType = request.call.contentType,
            body = request.call.body,
            timeoutMs = remainingMs.coerceAtLeast(MIN_CALL_TIMEOUT_MS)
        )
        return services.call(server, call).onLeft { sent = it.code != ResultCode.BACKEND_REFUSED }
    }

    private fun claimKey(key: IdempotencyKey) = ClaimKey(account = request.account, key = key)

    private fun bodyHash(): String {
        val call = request.call
        return ContentHash.of("${call.method} ${call.path}\n".toByteArray() + call.body).value
    }

    private fun outcome(answer: ServiceAnswer) = RecordedOutcome(
        code = ResultCode.OK.number,
        status = answer.status,
        contentType = answer.contentType,
        bodyBase64 = Base64.getEncoder().encodeToString(answer.body)
    )

    private fun newReply(answer: ServiceAnswer) =
        ServiceReply(code = ResultCode.OK, answer = answer)

    private fun recordedReply(outcome: RecordedOutcome): Either<Failure, ServiceReply> {
        val code = ResultCode.ofNumber(outcome.code) ?: ResultCode.INTERNAL
        if (code != ResultCode.OK) {
            return Failure(code, "An earlier attempt of this call ended with this result.").left()
        }
        val answer = ServiceAnswer(
            status = outcome.status,
            contentType = outcome.contentType,
            body = Base64.getDecoder().decode(outcome.bodyBase64)
        )
        return ServiceReply(code = ResultCode.OK_RECORDED, answer = answer).right()
    }

    private companion object {
        const val MIN_CALL_TIMEOUT_MS = 1_000L
    }
}
