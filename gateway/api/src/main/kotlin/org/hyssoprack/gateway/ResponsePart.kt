package org.hyssoprack.gateway

import io.netty.handler.codec.http.HttpResponse

/** One step of a backend server's answer. */
sealed interface ResponsePart {
    class Head(val response: HttpResponse) : ResponsePart

    class Body(val bytes: ByteArray) : ResponsePart

    /** The answer is complete. */
    data object End : ResponsePart

    /** The connection ended before the answer was complete. */
    data class Lost(val reason: String) : ResponsePart
}
