package org.hyssoprack.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.OperatorName
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.settings.BundleHolder
import org.hyssoprack.settings.BundleService

/** HTTP server for operators and for scraping metrics. */
internal class OperatorServer(
    private val address: NetworkAddress,
    private val operatorKeys: Map<ContentHash, OperatorName>,
    private val bundles: BundleService,
    private val holder: BundleHolder,
    private val state: HostReport,
    private val burn: BurnRecorder,
    private val orders: OrderEndpoint,
    private val bodies: BodyReader,
    private val drain: () -> Unit,
    private val metrics: () -> String,
    private val log: EventLog
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
            }
        ) {
            routing {
                get("/metrics") { call.respondText(metrics()) }
                bundleRoutes()
                stateRoutes()
                route("{...}") {
                    handle {
                        call.respondFailure(
                            Failure(ResultCode.PATH_UNKNOWN, "The path is not supported.")
                        )
                    }
                }
            }
        }.start(wait = false)

    private fun Routing.bundleRoutes() {
        post("/v1/bundles") {
            asOperator(call) { operator ->
                val json = bodies.read(call).bind().decodeToString()
                call.respondJson(ProposedBundleBody(bundles.propose(operator, json).bind()))
            }
        }
        get("/v1/bundles") { asOperator(call) { call.respondJson(bundles.history().bind()) } }
        get("/v1/bundles/active") { asOperator(call) { call.respondJson(activeBundle().bind()) } }
        get("/v1/bundles/{hash}") {
            asOperator(call) { call.respondText(bundles.show(bundleHash(call).bind()).bind()) }
        }
        post("/v1/bundles/{hash}/sign-off") {
            asOperator(call) { operator ->
                bundles.signOff(operator, bundleHash(call).bind()).bind()
                call.respondNoContent()
            }
        }
        post("/v1/bundles/{hash}/accept") {
            asOperator(call) { operator ->
                val hash = bundleHash(call).bind()
                val version = bundles.accept(operator, hash, baseVersion(call).bind()).bind()
                call.respondJson(ActiveBundleBody(version = version, hash = hash))
            }
        }
    }

    private fun Routing.stateRoutes() {
        get("/v1/hosts") { asOperator(call) { call.respondJson(state.hosts()) } }
        get("/v1/backend-servers") { asOperator(call) { call.respondJson(state.backendServers()) } }
        get("/v1/burn") { asOperator(call) { call.respondJson(burn.snapshot()) } }
        post("/v1/orders") {
            asOperator(call) {
                val json = bodies.read(call).bind().decodeToString()
                call.respondJson(orders.send(json).bind())
            }
        }
        post("/v1/drain") {
            asOperator(call) {
                drain()
                call.respondNoContent()
            }
        }
    }

    private suspend fun asOperator(
        call: ApplicationCall,
        block: suspend Raise<Failure>.(OperatorName) -> Unit
    ) {
        val operator = authenticate(call).fold({ return call.respondFailure(it) }, { it })
        val result = either { block(operator) }
        result.onLeft { call.respondFailure(it) }
        if (call.request.local.method == HttpMethod.Get) return
        log.event(
            "operator-call",
            "operator" eq operator,
            "path" eq call.request.local.uri,
            "code" eq (result.leftOrNull()?.code ?: ResultCode.OK).number
        )
    }

    private fun authenticate(call: ApplicationCall): Either<Failure, OperatorName> {
        val key = call.bearerKey()
            ?: return Failure(
                ResultCode.KEY_MISSING,
                "Expected the header 'Authorization: Bearer <key>'."
            ).left()
        return operatorKeys[ContentHash.of(key)]?.right()
            ?: Failure(ResultCode.KEY_UNKNOWN, "The bearer key does not match any operator.").left()
    }

    private fun activeBundle(): Either<Failure, ActiveBundleBody> {
        val bundle = holder.active.value
            ?: return Failure(
                ResultCode.NO_SETTINGS,
                "This host has no settings bundle in force."
            ).left()
        return ActiveBundleBody(version = bundle.version, hash = bundle.hash).right()
    }

    private fun bundleHash(call: ApplicationCall): Either<Failure, ContentHash> {
        val text = call.parameters["hash"].orEmpty()
        return ContentHash.parse(text)?.right()
            ?: Failure(ResultCode.BUNDLE_UNKNOWN, "'$text' is not a valid bundle hash.").left()
    }

    private fun baseVersion(call: ApplicationCall): Either<Failure, BundleVersion> {
        val base = call.request.queryParameters["base"]?.toLongOrNull()
        if (base != null && base >= 0) return BundleVersion(base).right()
        val detail = "Expected '?base=N' with the bundle version that the change is based on."
        return Failure(ResultCode.HEADER_MISSING, detail).left()
    }

    private suspend fun ApplicationCall.respondNoContent() =
        respondText(text = "", status = HttpStatusCode.NoContent)
}
