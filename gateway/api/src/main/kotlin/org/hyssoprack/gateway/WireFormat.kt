package org.hyssoprack.gateway

import arrow.core.Either
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import org.hyssoprack.common.Failure

/** Converts the heads of requests and responses between HTTP and this project's types. */
interface WireFormat {
    /** Reads a caller's headers. Fails with HEADER_MISSING or HEADER_INVALID. */
    fun readRequest(headers: HttpHeaders): Either<Failure, RequestMetadata>

    /** Returns the headers for sending a request to a backend server. */
    fun dispatchHeaders(callers: HttpHeaders, facts: DispatchMetadata): HttpHeaders

    /** Reads the head of a backend server's response. */
    fun readAnswer(head: HttpResponse): ResponseMetadata

    /** Returns the headers for relaying a backend server's response to the caller. */
    fun answerHeaders(servers: HttpHeaders): HttpHeaders

    /** Returns the HTTP status of the host's own response for [failure]. */
    fun statusOf(failure: Failure): Int

    /** Returns the headers of the host's own response for [failure] to request [id]. */
    fun failureHeaders(failure: Failure, id: String?): HttpHeaders
}
