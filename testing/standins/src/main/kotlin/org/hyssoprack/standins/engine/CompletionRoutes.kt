package org.hyssoprack.standins.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import java.util.UUID
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.hyssoprack.backend.CompletionBody
import org.hyssoprack.standins.common.cutConnection

/** HTTP endpoints of an emulated engine that run completions and stream their tokens. */
internal class CompletionRoutes(
    private val core: EngineCore,
    private val faults: EngineFaultInjector
) {
    /** Adds the endpoints to [route]. */
    fun install(route: Route) {
        route.post(COMPLETIONS) { complete(call) }
        route.post(CHAT_COMPLETIONS) { complete(call) }
        route.get("/v1/requests/{id}/stream") { reattach(call) }
    }

    private suspend fun complete(call: ApplicationCall) {
        val id = call.request.header(REQUEST_ID) ?: UUID.randomUUID().toString()
        val body = CompletionBody.parse(call.receiveText())
            ?: return call.respondError(id, HttpStatusCode.BadRequest, admitted = false)
        if (faults.takeRefuse()) {
            return call.respondError(id, HttpStatusCode.ServiceUnavailable, admitted = false)
        }
        val isKnownModel = body.model == null || body.model == core.status().model
        if (!isKnownModel) return call.respondError(id, HttpStatusCode.NotFound, admitted = false)
        if (faults.takeDoubleRun()) core.detach(core.submit(id, body))
        val run = core.submit(id, body)
        if (faults.takeFail()) {
            core.detach(run)
            return call.respondError(id, HttpStatusCode.InternalServerError, admitted = true)
        }
        val isChat = call.request.path() == CHAT_COMPLETIONS
        if (body.stream) {
            respondStream(call, run, offset = 0, fault = faults.takeStreamFault(), isChat = isChat)
        } else {
            respondComplete(call, run, isChat)
        }
    }

    private suspend fun reattach(call: ApplicationCall) {
        val id = call.parameters["id"].orEmpty()
        val offset = call.request.queryParameters["offset"]?.toIntOrNull() ?: 0
        val isChat = call.request.queryParameters["chat"] == "true"
        val run = if (faults.faults.cutReattach) null else core.attach(id)
        if (run == null) return call.respondError(id, HttpStatusCode.NotFound, admitted = false)
        val fault =
            if (faults.faults.freezeReattach) StreamFault.FREEZE else StreamFault.NONE
        respondStream(call, run, offset = offset, fault = fault, isChat = isChat)
    }

    private suspend fun respondStream(
        call: ApplicationCall,
        run: EngineRun,
        offset: Int,
        fault: StreamFault,
        isChat: Boolean
    ) {
        val stream = TokenStream(
            run = run,
            chunks = chunks(run, run.id, run.marker, isChat),
            otherChunks = chunks(run, "other-${run.id}", "other-${run.marker}", isChat),
            offset = offset,
            fault = fault,
            faultAfterTokens = faults.faults.faultAfterTokens,
            cut = { call.cutConnection() }
        )
        val echoedId = if (fault == StreamFault.SWAP_ID) "other-${run.id}" else run.id
        call.response.headers.append(REQUEST_ID, echoedId)
        call.respondBytesWriter(contentType = ContentType.Text.EventStream) {
            try {
                stream.writeTo(this)
            } finally {
                withContext(NonCancellable) { core.detach(run) }
            }
        }
    }

    private suspend fun respondComplete(call: ApplicationCall, run: EngineRun, isChat: Boolean) {
        try {
            awaitEnd(run)
            if (run.progress.endReason != EndReason.DONE) {
                return call.respondError(
                    run.id,
                    HttpStatusCode.InternalServerError,
                    admitted = true
                )
            }
            val text = chunks(run, run.id, run.marker, isChat).completeResponse(run)
            call.response.headers.append(REQUEST_ID, run.id)
            call.respondText(text = text, contentType = ContentType.Application.Json)
        } finally {
            withContext(NonCancellable) { core.detach(run) }
        }
    }

    private suspend fun awaitEnd(run: EngineRun) {
        val changes = run.subscribe()
        try {
            while (run.progress.endReason == null) changes.receive()
        } finally {
            run.unsubscribe(changes)
        }
    }

    private suspend fun chunks(run: EngineRun, id: String, marker: String, isChat: Boolean) =
        ChunkWriter(id = id, marker = marker, model = core.status().model.value, isChat = isChat)

    private suspend fun ApplicationCall.respondError(
        id: String,
        status: HttpStatusCode,
        admitted: Boolean
    ) {
        response.headers.append(REQUEST_ID, id)
        response.headers.append(ADMITTED, admitted.toString())
        respondText(
            text = """{"error":{"type":"${status.description.lowercase()}"}}""",
            contentType = ContentType.Application.Json,
            status = status
        )
    }

    private companion object {
        const val COMPLETIONS = "/v1/completions"
        const val CHAT_COMPLETIONS = "/v1/chat/completions"
        const val REQUEST_ID = "X-Request-Id"
        const val ADMITTED = "X-Admitted"
    }
}
