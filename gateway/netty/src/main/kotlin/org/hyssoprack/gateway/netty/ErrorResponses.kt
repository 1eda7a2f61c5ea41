package org.hyssoprack.gateway.netty

import io.netty.handler.codec.http.HttpHeaders
import org.hyssoprack.common.Failure

/** Maps failures to the status and headers of responses to requests that cannot be read. */
interface ErrorResponses {
    fun statusOf(failure: Failure): Int

    fun headersOf(failure: Failure): HttpHeaders
}
