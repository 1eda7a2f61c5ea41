package org.hyssoprack.faultproxy

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** HTTP routes through which tests set faults and read the state of listeners. */
internal class ControlRoutes(private val listeners: Map<String, ProxyListener>) {
    fun install(routing: Routing) = with(routing) {
        get("/listeners") {
            val states = listeners.values.map { it.state() }
            val text = json.encodeToString(ListSerializer(ListenerState.serializer()), states)
            call.respondText(text, ContentType.Application.Json)
        }
        put("/listeners/{name}/faults") {
            val faults = json.decodeFromString<ListenerFaults>(call.receiveText())
            changeListener(call) { it.set(faults) }
        }
        post("/listeners/{name}/cut") { changeListener(call) { it.cut() } }
        post("/listeners/{name}/silence") { changeListener(call) { it.silence() } }
        post("/clear") {
            listeners.values.forEach { it.set(ListenerFaults()) }
            call.respondText("cleared")
        }
    }

    private suspend fun changeListener(
        call: ApplicationCall,
        change: suspend (ProxyListener) -> Unit
    ) {
        val listener = listeners[call.parameters["name"]]
            ?: return call.respondText("no such listener", status = HttpStatusCode.NotFound)
        change(listener)
        call.respondText("done")
    }

    private companion object {
        val json = Json {
            encodeDefaults = true
            ignoreUnknownKeys = false
        }
    }
}
