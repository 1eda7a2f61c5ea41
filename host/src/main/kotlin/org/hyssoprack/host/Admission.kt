package org.hyssoprack.host

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import java.util.concurrent.atomic.AtomicLong
import org.hyssoprack.backend.CompletionBody
import org.hyssoprack.backend.PrefixHash
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.policy.RequestMetadata
import org.hyssoprack.policy.Route
import org.hyssoprack.scheduling.WaitingRequest
import org.hyssoprack.settings.ActiveBundle
import org.hyssoprack.settings.BundleHolder

/**
 * Validates a caller's request against the bundle in force and resolves its route, pool and
 * deadline.
 */
class Admission(
    private val self: HostRef,
    private val bundles: BundleHolder,
    private val clock: Clock
) {
    private val suffixes = AtomicLong()

    /**
     * Returns the admitted request, or the failure with which it is refused. Nothing has been
     * dispatched for a refused request.
     */
    fun admit(call: CallerRequest): Either<Failure, AdmittedRequest> {
        val now = clock.nowMs()
        val bundle = bundles.current(now) ?: return noBundle().left()
        return either { admit(call, bundle, now) }
    }

    private fun noBundle(): Failure {
        if (bundles.active.value == null) {
            return Failure(ResultCode.NO_SETTINGS, "This host has no settings bundle in force.")
        }
        return Failure(
            ResultCode.HOST_ISOLATED,
            "This host cannot confirm its settings bundle; retry through another host."
        )
    }

    private fun Raise<Failure>.admit(
        call: CallerRequest,
        bundle: ActiveBundle,
        now: Long
    ): AdmittedRequest {
        val account = authenticate(call, bundle)
        val service = serviceOf(call.path)
        val body = if (service != null) null else parseCompletion(call)
        val servicePath = service?.let { call.path.removePrefix("$SERVICES$it").ifEmpty { "/" } }
        val facts = RequestMetadata(
            account = account,
            method = call.method,
            path = servicePath ?: call.path,
            model = body?.model,
            service = service,
            lane = call.lane
        )
        val route = ensureNotNull(bundle.policy.route(facts)) { noRoute(facts) }
        val pool = bundle.policy.pools.getValue(route.pool)
        val key = idempotencyKey(call, route)
        val id = requestId(call)
        val waiting = WaitingRequest(
            id = id,
            account = account,
            share = bundle.policy.accounts[account]?.share ?: 1,
            tier = route.tier.rank,
            pool = pool.name,
            arrivedAtMs = now,
            deadlineAtMs = now + deadline(call, route),
            promptTokens = body?.promptTokens ?: 0,
            completionTokens = body?.let(::maxTokens) ?: 0,
            prefixHash = body?.let { PrefixHash.of(it.prompt) },
            once = route.once
        )
        return AdmittedRequest(
            id = id,
            account = account,
            route = route,
            pool = pool,
            bundle = bundle.version,
            waiting = waiting,
            call = call,
            firstAttempt = call.requestId == null || call.attempt == FIRST_ATTEMPT,
            idempotencyKey = key,
            servicePath = servicePath,
            stream = body?.stream ?: false
        )
    }

    private fun Raise<Failure>.authenticate(
        call: CallerRequest,
        bundle: ActiveBundle
    ): ClientAccount {
        val key = ensureNotNull(call.bearerKey) {
            Failure(ResultCode.KEY_MISSING, "Expected the header 'Authorization: Bearer <key>'.")
        }
        return ensureNotNull(bundle.accountByKeyHash[ContentHash.of(key)]) {
            Failure(ResultCode.KEY_UNKNOWN, "The bearer key does not match any client account.")
        }
    }

    private fun Raise<Failure>.parseCompletion(call: CallerRequest): CompletionBody {
        ensure(call.path in COMPLETION_PATHS) {
            Failure(ResultCode.PATH_UNKNOWN, "The path ${call.path} is not supported.")
        }
        val body = ensureNotNull(CompletionBody.parse(call.body.decodeToString())) {
            Failure(ResultCode.BODY_INVALID, "Expected a JSON object with 'prompt' or 'messages'.")
        }
        ensure(body.model != null) {
            Failure(ResultCode.BODY_INVALID, "The field 'model' is missing.")
        }
        ensure(maxTokens(body) in 1..MAX_TOKENS) {
            Failure(ResultCode.BODY_INVALID, "'max_tokens' must be from 1 to $MAX_TOKENS.")
        }
        return body
    }

    private fun maxTokens(body: CompletionBody): Int = body.maxTokens ?: DEFAULT_MAX_TOKENS

    private fun noRoute(facts: RequestMetadata): Failure {
        val model = facts.model
        if (model != null) {
            return Failure(
                ResultCode.MODEL_UNKNOWN,
                "No route of this client account serves the model $model."
            )
        }
        return Failure(
            ResultCode.ROUTE_UNKNOWN,
            "No route of this client account matches the request."
        )
    }

    private fun Raise<Failure>.idempotencyKey(call: CallerRequest, route: Route): IdempotencyKey? {
        if (!route.once) return null
        val key = ensureNotNull(call.idempotencyKey) {
            Failure(ResultCode.HEADER_MISSING, "Requests on this route need 'Idempotency-Key'.")
        }
        ensure(HEADER_TOKEN.matches(key)) {
            Failure(
                ResultCode.HEADER_INVALID,
                "'Idempotency-Key' must be 1 to 128 printable ASCII characters without spaces."
            )
        }
        return IdempotencyKey(key)
    }

    private fun Raise<Failure>.requestId(call: CallerRequest): RequestId {
        val given = call.requestId ?: return RequestId.of(self, "s${suffixes.incrementAndGet()}")
        ensure(HEADER_TOKEN.matches(given)) {
            Failure(
                ResultCode.HEADER_INVALID,
                "'X-Request-Id' must be 1 to 128 printable ASCII characters without spaces."
            )
        }
        return RequestId(given)
    }

    private fun Raise<Failure>.deadline(call: CallerRequest, route: Route): Long {
        val given = call.deadline ?: return route.deadlineMs
        val ms = given.toLongOrNull()
        ensure(ms != null && ms > 0) {
            Failure(ResultCode.HEADER_INVALID, "'X-Deadline-Ms' must be a positive whole number.")
        }
        return minOf(ms, route.deadlineMs)
    }

    private fun serviceOf(path: String): ServiceId? {
        if (!path.startsWith(SERVICES)) return null
        return ServiceId(path.removePrefix(SERVICES).substringBefore('/'))
    }

    private companion object {
        const val SERVICES = "/v1/services/"
        const val FIRST_ATTEMPT = "1"
        const val DEFAULT_MAX_TOKENS = 256
        const val MAX_TOKENS = 1_000_000
        val COMPLETION_PATHS = setOf("/v1/completions", "/v1/chat/completions")
        val HEADER_TOKEN = Regex("""[!-~]{1,128}""")
    }
}
