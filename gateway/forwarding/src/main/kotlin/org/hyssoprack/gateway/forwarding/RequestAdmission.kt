package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.RequestMetadata
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.ActiveSettings
import org.hyssoprack.serving.settings.QuotaUnit
import org.hyssoprack.serving.settings.Route
import org.hyssoprack.serving.settings.ServingSettings

/** Decides by the settings in force whether a request may run, and on which service. */
class RequestAdmission(private val settings: ActiveSettings) {
    /** Admits a request. Fails with the reason for rejecting it. */
    fun admit(request: CallerRequest, metadata: RequestMetadata): Either<Failure, AdmittedRequest> =
        either { resolve(request, metadata) }

    /**
     * Checks the request again right before dispatch, since settings may have changed while it
     * waited.
     */
    fun recheck(request: CallerRequest, call: AdmittedRequest): Either<Failure, AdmittedRequest> =
        either {
            val current = settings.current
            val isUnchanged = current?.version == call.version
            if (isUnchanged && (call.account == null || settings.isFresh())) {
                call
            } else {
                resolve(request, call.metadata)
            }
        }

    private fun Raise<Failure>.resolve(
        request: CallerRequest,
        metadata: RequestMetadata
    ): AdmittedRequest {
        val current = ensureNotNull(settings.current) {
            Failure(ResultCode.NO_SETTINGS, "No settings are in force yet.", RETRY_MS)
        }
        val route = current.routeFor(metadata.host, request.uri)
        if (route == null) {
            ensureFresh()
            raise(
                Failure(ResultCode.ROUTE_UNKNOWN, "No route matches the request's host and path.")
            )
        }
        val account = accountFor(current, route, metadata)
        val work = metadata.work ?: WorkEstimate()
        val limitMs = minOf(metadata.deadlineMs ?: route.timeoutMs, route.timeoutMs)
        return AdmittedRequest(
            metadata = metadata,
            route = route,
            account = account,
            service = route.serviceFor(metadata.id.hashCode()),
            version = current.version,
            work = work,
            quota = account?.let { quotaOf(it, metadata) } ?: 0.0,
            arrivedMs = request.arrived.monotonicMs,
            endMs = request.arrived.monotonicMs + limitMs
        )
    }

    private fun Raise<Failure>.accountFor(
        current: ServingSettings,
        route: Route,
        metadata: RequestMetadata
    ): Account? {
        if (!current.keysInUse || !route.needsKey) return null
        ensureFresh()
        val key =
            ensureNotNull(metadata.key) {
                Failure(ResultCode.KEY_MISSING, "The request carries no client account key.")
            }
        return ensureNotNull(current.accountOf(key)) {
            Failure(ResultCode.KEY_UNKNOWN, "The request's key belongs to no client account.")
        }
    }

    // Outdated settings can neither validate a key nor prove that a route is missing.
    private fun Raise<Failure>.ensureFresh() {
        ensure(settings.isFresh()) {
            val age = settings.ageMs()
            Failure(ResultCode.HOST_ISOLATED, "Settings were confirmed $age ms ago.", RETRY_MS)
        }
    }

    private fun quotaOf(account: Account, metadata: RequestMetadata): Double = when (account.unit) {
        QuotaUnit.REQUESTS -> 1.0
        QuotaUnit.TOKENS -> (metadata.quotaTokens?.toLong() ?: account.plainTokens).toDouble()
    }

    private companion object {
        // Settings are read about once a second, so they are fresh again after part of that.
        const val RETRY_MS = 300L
    }
}
