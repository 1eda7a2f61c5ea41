package org.hyssoprack.backend.http

import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/** Checks the head of an answer. */
internal object ResponseValidator {
    /** The failure that the head of an engine's answer tells of, or null if it may be read. */
    fun failure(server: BackendServer, id: RequestId, response: HttpResponse): Failure? {
        mismatch(server, id, response)?.let { return it }
        if (response.status.isSuccess()) return null
        return error(server, response, errorCode(response))
    }

    /** Like [failure], but errors of the service itself are part of its answer. */
    fun serviceFailure(server: BackendServer, id: RequestId, response: HttpResponse): Failure? {
        mismatch(server, id, response)?.let { return it }
        if (isAdmitted(response)) return null
        return error(server, response, ResultCode.BACKEND_REFUSED)
    }

    private fun mismatch(server: BackendServer, id: RequestId, response: HttpResponse): Failure? {
        val echoed = response.headers[BackendHttp.REQUEST_ID]
        if (echoed == id.value) return null
        return Failure(
            code = ResultCode.ANSWER_MISMATCHED,
            detail = "${server.id} answered $id with the id $echoed"
        )
    }

    private fun errorCode(response: HttpResponse): ResultCode {
        if (isAdmitted(response)) return ResultCode.BACKEND_FAILED
        return when (response.status) {
            HttpStatusCode.BadRequest -> ResultCode.BODY_INVALID
            HttpStatusCode.PayloadTooLarge -> ResultCode.BODY_TOO_LARGE
            else -> ResultCode.BACKEND_REFUSED
        }
    }

    private fun isAdmitted(response: HttpResponse): Boolean =
        response.headers[BackendHttp.ADMITTED] != "false"

    private fun error(server: BackendServer, response: HttpResponse, code: ResultCode) =
        Failure(code = code, detail = "${server.id} answered with status ${response.status.value}")
}
