package org.hyssoprack.gateway.netty

import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.settings.CallerLimits

/** Finds faults in the framing and the size of callers' requests. */
internal class HeadCheck(private val limits: CallerLimits, private val lines: ByteLimits) {
    /** Returns why [head] is refused; null if it is not. */
    fun faultOf(head: HttpRequest): Failure? {
        val cause = head.decoderResult().cause()
        return when {
            cause is TooLongFrameException ->
                Failure(
                    code = ResultCode.HEADERS_TOO_LARGE,
                    detail = "The request head is larger than ${limits.maxHeaderBytes} bytes."
                )

            cause is TooManyLinesException -> tooManyLines("header", cause.maxLines)

            cause != null -> malformed("The request head is not valid HTTP.")

            head.protocolVersion() != HttpVersion.HTTP_1_1 ->
                malformed("Expected HTTP/1.1, found ${head.protocolVersion()}.")

            head.headers().getAll(HttpHeaderNames.HOST).size != 1 ->
                malformed("Expected exactly one Host header.")

            !isCodingSupported(
                head
            ) -> malformed("The only supported transfer coding is 'chunked'.")

            HttpUtil.getContentLength(head, 0L) > limits.maxBodyBytes -> tooLarge()

            else -> null
        }
    }

    /** Returns the fault of a part of a body that could not be decoded. */
    fun faultOf(content: HttpContent): Failure {
        val cause = content.decoderResult().cause()
        if (cause is TooManyLinesException) return tooManyLines("trailer", cause.maxLines)
        return malformed("Malformed request body.")
    }

    fun incomplete(what: String) =
        Failure(ResultCode.REQUEST_INCOMPLETE, "$what did not arrive within the time limit.")

    fun tooLarge() = Failure(
        code = ResultCode.BODY_TOO_LARGE,
        detail = "The request body is larger than ${limits.maxBodyBytes} bytes."
    )

    // With other codings, intermediaries may disagree on where the body ends (request smuggling).
    private fun isCodingSupported(head: HttpRequest): Boolean {
        val codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return codings.isEmpty() || codings.singleOrNull().equals("chunked", ignoreCase = true)
    }

    private fun tooManyLines(what: String, most: Int) =
        Failure(ResultCode.TOO_MANY_LINES, "The request has more than $most $what lines.")

    private fun malformed(detail: String) = Failure(ResultCode.REQUEST_MALFORMED, detail)
}
