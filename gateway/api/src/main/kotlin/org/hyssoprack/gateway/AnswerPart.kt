package org.hyssoprack.gateway

import io.netty.handler.codec.http.HttpResponse

/** One step of a backend server's answer. */
sealed interface AnswerPart {
    class Head(val response: HttpResponse) : AnswerPart

    class Body(val bytes: ByteArray) : AnswerPart

    /** The answer is complete. */
    data object End : AnswerPart

    /** The connection ended before the answer was complete. */
    data class Lost(val reason: String) : AnswerPart
}
