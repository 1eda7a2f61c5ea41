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

/** Endpoints of an emulated engine for control and observation. */
internal class EngineRoutes(private val core: EngineCore, private val faults: FaultSwitch) {
    /** Adds the endpoints to [route]. */
    fun install(route: Route) {
        installRequests(route)
        installObservation(route)
    }

    private fun installRequests(route: Route) {
        route.post("/v1/requests/{id}/cancel") { call.answer(core.cancel(call.id()), MISSING) }
        route.post("/v1/requests/{id}/suspend") { call.answer(core.suspendRun(call.id()), CLASH) }
        route.post("/v1/requests/{id}/resume") { call.answer(core.resume(call.id()), CLASH) }
        route.post("/v1/requests/{id}/export") {
            val export = core.export(call.id())
            if (export ==
                null
            ) {
                call.answer(false, CLASH)
            } else {
                call.json(Json.encodeToString(export))
            }
        }
        route.post("/v1/requests/import") {
            val export = call.read<KvExport>() ?: return@post
            core.import(export)
            call.answer(true, CLASH)
        }
    }

    private fun installObservation(route: Route) {
        route.get("/load") { call.json(Json.encodeToString(core.load())) }
        route.get("/status") { call.json(Json.encodeToString(core.status())) }
        route.get("/cache-events") {
            val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
            call.json(Json.encodeToString(core.cacheEvents(after)))
        }
        route.post("/orders") {
            val order = call.read<EngineOrder>() ?: return@post
            val status = core.order(order)
            if (status ==
                null
            ) {
                call.answer(false, CLASH)
            } else {
                call.json(Json.encodeToString(status))
            }
        }
        route.get("/faults") { call.json(Json.encodeToString(faults.faults)) }
        route.post("/faults") {
            val wanted = call.read<EngineFaults>() ?: return@post
            faults.set(wanted)
            call.answer(true, CLASH)
        }
    }

    private suspend inline fun <reified T> ApplicationCall.read(): T? = try {
        Json.decodeFromString<T>(receiveText())
    } catch (_: SerializationException) {
        json("""{"error":{"type":"invalid"}}""", HttpStatusCode.BadRequest)
        null
    }

    private fun ApplicationCall.id(): String = parameters["id"].orEmpty()

    private suspend fun ApplicationCall.answer(success: Boolean, otherwise: HttpStatusCode) {
        json("""{"ok":$success}""", if (success) HttpStatusCode.OK else otherwise)
    }

    private suspend fun ApplicationCall.json(
        text: String,
        status: HttpStatusCode = HttpStatusCode.OK
    ) {
        request.header(REQUEST_ID)?.let { response.headers.append(REQUEST_ID, it) }
        respondText(text = text, contentType = ContentType.Application.Json, status = status)
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        val MISSING = HttpStatusCode.NotFound
        val CLASH = HttpStatusCode.Conflict
    }
}
