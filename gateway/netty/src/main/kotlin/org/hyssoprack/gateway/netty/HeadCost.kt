package org.hyssoprack.gateway.netty

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest

/** Estimates the heap that the head of a request takes. */
internal object HeadCost {
    // Two strings, their arrays and the entry of a header line, beside its characters.
    private const val LINE_BYTES = 160L
    private const val LINE_FEED: Byte = 10

    fun of(head: HttpRequest): Long = head.uri().length + of(head.headers())

    fun of(headers: HttpHeaders): Long {
        var cost = 0L
        val lines = headers.iteratorCharSequence()
        while (lines.hasNext()) {
            val (name, value) = lines.next()
            cost += LINE_BYTES + name.length + value.length
        }
        return cost
    }

    /** Cost of the lines that end in [bytes], which are not decoded yet. */
    fun of(bytes: ByteBuf): Long {
        var lines = 0
        bytes.forEachByte {
            if (it == LINE_FEED) lines++
            true
        }
        return bytes.readableBytes() + lines * LINE_BYTES
    }

    /** Highest cost of a head within the limits. */
    fun most(maxHeaderBytes: Int, maxLines: Int): Long = maxHeaderBytes + maxLines * LINE_BYTES
}
