package org.hyssoprack.daemon

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import org.hyssoprack.common.CallerHeaders
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.host.Admission
import org.hyssoprack.host.AdmittedRequest
import org.hyssoprack.host.CallerRequest
import org.hyssoprack.host.Drain
import org.hyssoprack.host.OutcomeRecorder

/** HTTP server for callers. */
internal class CallerServer(
    private val self: HostRef,
    private val address: NetworkAddress,
    private val admission: Admission,
    private val completions: CompletionResponder,
    private val services: ServiceResponder,
    private val relay: PeerRelay,
    private val drain: Drain,
    private val bodies: BodyReader,
    private val recorder: OutcomeRecorder,
    private val callerHosts: () -> CallerHostsBody
) {
    /** Starts listening. */
    fun start(): EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(
            factory = CIO,
            configure = {
                connector {
                    host = address.ip
                    port = address.port
                }
                connectionIdleTimeoutSeconds = IDLE_TIMEOUT_SECONDS
            }
        ) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing {
                get("/v1/hosts") { call.respondJson(callerHosts()) }
                route("{...}") { handle { receive(call) } }
            }
        }.start(wait = false)

    private suspend fun receive(call: ApplicationCall) {
        if (drain.isClosed) {
            val detail = "This host no longer accepts calls; request the host list again."
            return refuse(call, Failure(ResultCode.HOST_STOPPING, detail))
        }
        drain.call { serve(call) }
    }

    private suspend fun serve(call: ApplicationCall) {
        call.response.header(CallerHeaders.HOST, self.toString())
        val isKnownMethod = call.request.httpMethod in METHODS
        if (!isKnownMethod || !call.request.path().startsWith(PREFIX)) {
            val detail =
                "${call.request.httpMethod.value} ${call.request.path()} is not supported."
            return refuse(call, Failure(ResultCode.PATH_UNKNOWN, detail))
        }
        val body = bodies.read(call).fold({ return refuse(call, it) }, { it })
        val callerRequest = callerRequest(call, body)
        val request = admission.admit(callerRequest).fold({ return refuse(call, it) }, { it })
        call.response.header(CallerHeaders.REQUEST_ID, request.id.value)
        if (drain.isDraining) return relay.forward(call, request)
        respond(call, request)
    }

    private suspend fun respond(call: ApplicationCall, request: AdmittedRequest) {
        call.response.header(CallerHeaders.BUNDLE, request.bundle.toString())
        if (request.servicePath == null) {
            completions.respond(call, request)
        } else {
            services.respond(call, request)
        }
    }

    private suspend fun refuse(call: ApplicationCall, failure: Failure) {
        recorder.refused(failure)
        call.request.header(CallerHeaders.REQUEST_ID)
            ?.takeIf { id -> id.all { it in '!'..'~' } }
            ?.let { call.response.header(CallerHeaders.REQUEST_ID, it) }
        call.respondFailure(failure)
    }

    private fun callerRequest(call: ApplicationCall, body: ByteArray): CallerRequest {
        val request = call.request
        return CallerRequest(
            method = request.httpMethod.value,
            path = request.path(),
            body = body,
            contentType = request.header(HttpHeaders.ContentType),
            bearerKey = call.bearerKey(),
            requestId = request.header(CallerHeaders.REQUEST_ID),
            attempt = request.header(CallerHeaders.ATTEMPT),
            idempotencyKey = request.header(CallerHeaders.IDEMPOTENCY_KEY),
            deadline = request.header(CallerHeaders.DEADLINE),
            lane = request.header(CallerHeaders.LANE)
        )
    }

    private companion object {
        const val PREFIX = "/v1/"
        const val IDLE_TIMEOUT_SECONDS = 45
        val METHODS =
            setOf(HttpMethod.Get, HttpMethod.Post, HttpMethod.Put, HttpMethod.Delete)
    }
}
