package org.hyssoprack.standins.objects

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import java.security.MessageDigest
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.delay
import org.hyssoprack.standins.platform.Outage
import org.hyssoprack.standins.platform.hang
import org.hyssoprack.standins.platform.receiveJson
import org.hyssoprack.standins.platform.respondUnavailable
import org.hyssoprack.store.http.PlatformPath

/** HTTP routes of the object store: bodies are stored under their SHA-256 hash. */
internal class ObjectRoutes {
    private val objects = ConcurrentHashMap<String, ByteArray>()

    @Volatile
    private var faults = ObjectFaults()

    fun install(routing: Routing) = with(routing) {
        put("${PlatformPath.OBJECTS}/{hash}") { withFaults(call) { put(call) } }
        get("${PlatformPath.OBJECTS}/{hash}") { withFaults(call) { get(call) } }
        post("/faults") {
            faults = call.receiveJson()
            call.respondText("set")
        }
    }

    private suspend fun withFaults(call: ApplicationCall, serve: suspend () -> Unit) {
        if (faults.outage == Outage.HANG) return call.hang()
        if (faults.outage == Outage.UNAVAILABLE) return call.respondUnavailable()
        delay(faults.delayMs)
        serve()
    }

    private suspend fun put(call: ApplicationCall) {
        val body = call.receive<ByteArray>()
        val hash = call.parameters["hash"].orEmpty()
        if (hashOf(body) != hash) {
            return call.respondText("hash differs", status = HttpStatusCode.BadRequest)
        }
        objects[hash] = body
        call.respondText("stored")
    }

    private suspend fun get(call: ApplicationCall) {
        val body = objects[call.parameters["hash"]]
            ?: return call.respondText("missing", status = HttpStatusCode.NotFound)
        call.respondBytes(body)
    }

    private fun hashOf(body: ByteArray): String =
        MessageDigest.getInstance("SHA-256").digest(body).joinToString("") { "%02x".format(it) }
}
