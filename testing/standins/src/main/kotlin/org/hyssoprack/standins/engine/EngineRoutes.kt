package org.hyssoprack.standins.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.backend.EngineOrder

/** HTTP endpoints of an emulated engine for control and monitoring. */
internal class EngineRoutes(private val core: EngineCore, private val faults: EngineFaultInjector) {
    /** Adds the endpoints to [route]. */
    fun install(route: Route) {
        installRequests(route)
        installMonitoring(route)
    }

    private fun installRequests(route: Route) {
        route.post("/v1/requests/{id}/cancel") {
            call.respondSuccess(core.cancel(call.id()), NOT_FOUND)
        }
        route.post("/v1/requests/{id}/suspend") {
            call.respondSuccess(core.suspendRun(call.id()), CONFLICT)
        }
        route.post("/v1/requests/{id}/resume") {
            call.respondSuccess(core.resume(call.id()), CONFLICT)
        }
        route.post("/v1/requests/{id}/export") {
            val export = core.export(call.id())
            if (export ==
                null
            ) {
                call.respondSuccess(false, CONFLICT)
            } else {
                call.respondJson(Json.encodeToString(export))
            }
        }
        route.post("/v1/requests/import") {
            val export = call.read<KvExport>() ?: return@post
            core.import(export)
            call.respondSuccess(true, CONFLICT)
        }
    }

    private fun installMonitoring(route: Route) {
        route.get("/load") { call.respondJson(Json.encodeToString(core.load())) }
        route.get("/status") { call.respondJson(Json.encodeToString(core.status())) }
        route.get("/cache-events") {
            val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
            call.respondJson(Json.encodeToString(core.cacheEvents(after)))
        }
        route.post("/orders") {
            val order = call.read<EngineOrder>() ?: return@post
            val status = core.order(order)
            if (status ==
                null
            ) {
                call.respondSuccess(false, CONFLICT)
            } else {
                call.respondJson(Json.encodeToString(status))
            }
        }
        route.get("/faults") { call.respondJson(Json.encodeToString(faults.faults)) }
        route.post("/faults") {
            val newFaults = call.read<EngineFaults>() ?: return@post
            faults.set(newFaults)
            call.respondSuccess(true, CONFLICT)
        }
    }

    private suspend inline fun <reified T> ApplicationCall.read(): T? = try {
        Json.decodeFromString<T>(receiveText())
    } catch (_: SerializationException) {
        respondJson("""{"error":{"type":"invalid"}}""", HttpStatusCode.BadRequest)
        null
    }

    private fun ApplicationCall.id(): String = parameters["id"].orEmpty()

    private suspend fun ApplicationCall.respondSuccess(
        success: Boolean,
        failureStatus: HttpStatusCode
    ) {
        respondJson("""{"ok":$success}""", if (success) HttpStatusCode.OK else failureStatus)
    }

    private suspend fun ApplicationCall.respondJson(
        text: String,
        status: HttpStatusCode = HttpStatusCode.OK
    ) {
        request.header(REQUEST_ID)?.let { response.headers.append(REQUEST_ID, it) }
        respondText(text = text, contentType = ContentType.Application.Json, status = status)
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        val NOT_FOUND = HttpStatusCode.NotFound
        val CONFLICT = HttpStatusCode.Conflict
    }
}
