package org.hyssoprack.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.hyssoprack.serving.settings.ClockReading

/**
 * A complete HTTP request of a caller.
 *
 * @property uri path and query as sent.
 * @property arrived time at which its last byte was read.
 */
class CallerRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    body: ByteArray,
    val arrived: ClockReading
) {
    /** The body; empty once it is released. */
    var body: ByteArray = body
        private set

    /** Frees the body, once the request cannot be sent again. */
    fun releaseBody() {
        body = ByteArray(0)
    }
}
