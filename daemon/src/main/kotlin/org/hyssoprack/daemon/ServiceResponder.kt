package org.hyssoprack.daemon

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import org.hyssoprack.common.CallerHeaders
import org.hyssoprack.host.AdmittedRequest
import org.hyssoprack.host.RequestService

/** Serves one call of a plain service and returns its response to the caller unchanged. */
internal class ServiceResponder(private val service: RequestService) {
    /** Serves [request] and responds to [call]. */
    suspend fun respond(call: ApplicationCall, request: AdmittedRequest) {
        service.call(request).fold({ call.respondFailure(it) }) { reply ->
            call.response.header(CallerHeaders.RESULT, reply.code.number.toString())
            call.respondBytes(
                bytes = reply.answer.body,
                contentType = reply.answer.contentType?.let(ContentType::parse),
                status = HttpStatusCode.fromValue(reply.answer.status)
            )
        }
    }
}
