package org.hyssoprack.gateway.netty

import io.netty.handler.codec.http.HttpHeaders
import org.hyssoprack.common.Failure

/** Status and headers of answers to requests that cannot be read. */
interface ErrorResponses {
    fun statusOf(failure: Failure): Int

    fun headersOf(failure: Failure): HttpHeaders
}
