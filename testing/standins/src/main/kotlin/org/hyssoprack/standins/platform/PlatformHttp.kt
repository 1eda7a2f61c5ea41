package org.hyssoprack.standins.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.TinylogEventLog
import org.hyssoprack.common.eq

internal val StandInJson = Json {
    encodeDefaults = true
    ignoreUnknownKeys = true
}

/** Time that a hanging call is held without an answer, in milliseconds. */
private const val HANG_MS = 60_000L

/** Serves [routes] on [address], given as `ip:port`; logs `ready` once it listens. */
internal fun serve(name: String, address: String, routes: Routing.() -> Unit): RunningServer {
    val at = requireNotNull(NetworkAddress.parse(address)) {
        "listen address must be ip:port, got $address"
    }
    val server = embeddedServer(CIO, host = at.ip, port = at.port) { routing(routes) }
    server.start(wait = false)
    TinylogEventLog().event("ready", "standin" eq name, "address" eq at)
    return RunningServer(server)
}

internal suspend fun <T> ApplicationCall.respondJson(
    strategy: SerializationStrategy<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK
) = respondText(
    text = StandInJson.encodeToString(strategy, value),
    contentType = ContentType.Application.Json,
    status = status
)

internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T =
    StandInJson.decodeFromString(receiveText())

/** Answers 429: the call had no effect. */
internal suspend fun ApplicationCall.respondLimited() {
    response.header("Retry-After", "1")
    respondText("rate limit", status = HttpStatusCode.TooManyRequests)
}

/** Answers 503: the call had no effect. */
internal suspend fun ApplicationCall.respondUnavailable() =
    respondText("unavailable", status = HttpStatusCode.ServiceUnavailable)

/** Leaves the call without an answer for longer than any client timeout. */
internal suspend fun ApplicationCall.hang() {
    delay(HANG_MS)
    respondText("no answer", status = HttpStatusCode.InternalServerError)
}
