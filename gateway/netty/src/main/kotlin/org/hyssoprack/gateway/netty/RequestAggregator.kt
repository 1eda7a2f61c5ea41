package org.hyssoprack.gateway.netty

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import java.io.ByteArrayOutputStream
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.serving.settings.ClockReading

/** Collects the body of a request up to [maxBytes]. */
internal class RequestAggregator(private val head: HttpRequest, private val maxBytes: Int) {
    private val body = ByteArrayOutputStream()

    /** Appends a part of the body; returns false if the body would exceed the limit. */
    fun add(bytes: ByteBuf): Boolean {
        if (body.size() + bytes.readableBytes() > maxBytes) return false
        bytes.readBytes(body, bytes.readableBytes())
        return true
    }

    fun complete(arrived: ClockReading) = CallerRequest(
        method = head.method(),
        uri = head.uri(),
        headers = head.headers(),
        body = body.toByteArray(),
        arrived = arrived
    )
}
