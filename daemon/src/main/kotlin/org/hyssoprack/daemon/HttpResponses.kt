package org.hyssoprack.daemon

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.common.ErrorBody
import org.hyssoprack.common.Failure

private const val BEARER = "Bearer "
private const val MS_PER_SECOND = 1_000L

/** Responds with [failure] as a JSON body and the HTTP status of its code. */
internal suspend fun ApplicationCall.respondFailure(failure: Failure) {
    failure.retryAfterMs?.let { ms ->
        val seconds = (ms + MS_PER_SECOND - 1) / MS_PER_SECOND
        response.header(HttpHeaders.RetryAfter, seconds.toString())
    }
    respondText(
        text = ErrorBody.of(failure).json(),
        contentType = ContentType.Application.Json,
        status = HttpStatusCode.fromValue(failure.code.httpStatus)
    )
}

/** Responds with [value] as a JSON body. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(value: T) {
    respondText(text = Json.encodeToString(value), contentType = ContentType.Application.Json)
}

/** Returns the bearer key of the Authorization header, or null if there is none. */
internal fun ApplicationCall.bearerKey(): String? {
    val header = request.header(HttpHeaders.Authorization) ?: return null
    if (!header.startsWith(BEARER)) return null
    return header.removePrefix(BEARER).trim().ifEmpty { null }
}
