package org.hyssoprack.gateway

import arrow.core.Either
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import org.hyssoprack.common.Failure

/** Translates heads of requests and answers between the wire and the product's types. */
interface WireFormat {
    /** Reads a caller's headers. Fails with HEADER_MISSING or HEADER_INVALID. */
    fun readRequest(headers: HttpHeaders): Either<Failure, RequestMetadata>

    /** The headers with which a request goes to a backend server. */
    fun dispatchHeaders(callers: HttpHeaders, facts: DispatchMetadata): HttpHeaders

    /** Reads the head of a backend server's answer. */
    fun readAnswer(head: HttpResponse): ResponseMetadata

    /** The headers with which a backend server's answer goes to the caller. */
    fun answerHeaders(servers: HttpHeaders): HttpHeaders

    /** Status of the system's own answer for [failure]. */
    fun statusOf(failure: Failure): Int

    /** Headers of the system's own answer for [failure] to request [id]. */
    fun failureHeaders(failure: Failure, id: String?): HttpHeaders
}
