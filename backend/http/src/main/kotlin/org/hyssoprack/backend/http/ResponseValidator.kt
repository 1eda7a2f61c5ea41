package org.hyssoprack.backend.http

import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import org.hyssoprack.common.Failure
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.BackendServer

/** Checks the status and headers of a response. */
internal object ResponseValidator {
    /** Returns the failure that an engine's response reports, or null if its body can be read. */
    fun failure(server: BackendServer, id: RequestId, response: HttpResponse): Failure? {
        mismatch(server, id, response)?.let { return it }
        if (response.status.isSuccess()) return null
        return error(server, response, errorCode(response))
    }

    /** Like [failure], but an error status of an admitted call is part of the response. */
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
            detail = "expected request id $id in the response of ${server.id}, found $echoed"
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
        Failure(code = code, detail = "${server.id} responded with status ${response.status.value}")
}
