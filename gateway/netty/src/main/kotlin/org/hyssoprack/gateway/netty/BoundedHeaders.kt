package org.hyssoprack.gateway.netty

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Headers of a request that is being read; a line beyond [maxLines] fails the request.
 *
 * @param isKept whether lines are kept beside being counted.
 */
internal class BoundedHeaders(private val maxLines: Int, private val isKept: Boolean) :
    DefaultHttpHeaders() {
    private var lines = 0

    override fun add(name: CharSequence, value: Any): HttpHeaders {
        if (++lines > maxLines) throw TooManyLinesException(maxLines)
        return if (isKept) super.add(name, value) else this
    }

    /** Creates [BoundedHeaders] with the same limits. */
    class Factory(private val maxLines: Int, private val isKept: Boolean) : HttpHeadersFactory {
        override fun newHeaders(): HttpHeaders = BoundedHeaders(maxLines, isKept)

        override fun newEmptyHeaders(): HttpHeaders = newHeaders()
    }
}
