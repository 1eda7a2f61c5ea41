package org.hyssoprack.cli

import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking

/** Serves canned responses of the operators' API and records the requests. */
internal class FakeOperatorServer : AutoCloseable {
    val requests = mutableListOf<String>()
    val bodies = mutableListOf<String>()
    val keys = mutableListOf<String?>()
    private val answers = HashMap<String, String>()
    private val statuses = HashMap<String, Int>()

    private val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
        routing {
            route("{...}") {
                handle {
                    val name = "${call.request.httpMethod.value} ${call.request.uri}"
                    requests += name
                    keys += call.request.headers["Authorization"]
                    bodies += call.receiveText()
                    val status = HttpStatusCode.fromValue(statuses[name] ?: 200)
                    call.respondText(answers[name].orEmpty(), status = status)
                }
            }
        }
    }.start(wait = false)

    val address: String = runBlocking {
        "127.0.0.1:${server.engine.resolvedConnectors().first().port}"
    }

    fun answer(name: String, body: String, status: Int = 200) {
        answers[name] = body
        statuses[name] = status
    }

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = 0)
}
