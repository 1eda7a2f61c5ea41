package org.hyssoprack.client

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.runBlocking
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode

/** An entry host that returns the responses a test sets. */
internal class FakeHost(private val name: String) : AutoCloseable {
    /** Path and headers of a received request. */
    data class Arrival(
        val path: String,
        val id: String,
        val isFirst: Boolean,
        val idempotencyKey: String?,
        val deadlineMs: Long,
        val key: String?
    )

    val arrivals = CopyOnWriteArrayList<Arrival>()
    var listedHosts: List<FakeHost> = listOf(this)
    var ttlMs = 60_000L
    var listRequests = 0
    var answer: suspend ApplicationCall.(id: String) -> Unit = { streamWhole(it) }

    private val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
        routing {
            get("/v1/hosts") {
                listRequests++
                call.respondText(list(), ContentType.Application.Json)
            }
            route("{...}") { handle { call.serve() } }
        }
    }.start(wait = false)

    private val port = runBlocking { server.engine.resolvedConnectors().first().port }

    val address = NetworkAddress("127.0.0.1", port)
    val ref = HostRef(HostId(name), Incarnation(1_700_000_000_000))

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = 0)

    private suspend fun ApplicationCall.serve() {
        val id = request.header("X-Request-Id").orEmpty()
        arrivals += Arrival(
            path = request.local.uri,
            id = id,
            isFirst = request.header("X-Attempt") == "1",
            idempotencyKey = request.header("Idempotency-Key"),
            deadlineMs = request.header("X-Deadline-Ms")?.toLong() ?: 0,
            key = request.header("Authorization")
        )
        answer(id)
    }

    private fun list(): String {
        val entries = listedHosts.joinToString(",") {
            """{"host":"${it.name}","incarnation":"${it.ref.incarnation}","address":"${it.address}"}"""
        }
        return """{"ttl_ms":$ttlMs,"hosts":[$entries]}"""
    }
}

internal fun token(id: String, index: Int): String =
    """data: {"id":"$id","token_index":$index,"choices":[{"index":0,"text":"t$index "}]}""" + "\n\n"

internal fun usage(id: String, count: Int): String =
    """data: {"id":"$id","choices":[],"usage":{"prompt_tokens":5,"completion_tokens":$count}}""" +
        "\n\n"

internal const val DONE = "data: [DONE]\n\n"

internal suspend fun ApplicationCall.stream(id: String, text: String) {
    response.header("X-Request-Id", id)
    respondBytesWriter(ContentType.Text.EventStream) { writeStringUtf8(text) }
}

internal suspend fun ApplicationCall.streamWhole(id: String) =
    stream(id, token(id, 0) + token(id, 1) + usage(id, 2) + DONE)

internal suspend fun ApplicationCall.refuse(id: String, code: ResultCode, retryAfterMs: Long = 1) {
    response.header("X-Request-Id", id)
    val body = """{"number":${code.number},"name":"${code.wireName}",""" +
        """"outcome":"${code.outcome.wireName}","detail":"","retry_after_ms":$retryAfterMs}"""
    respondText(body, ContentType.Application.Json, HttpStatusCode.fromValue(code.httpStatus))
}
