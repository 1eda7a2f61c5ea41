package org.hyssoprack.gateway.netty

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import org.hyssoprack.gateway.BodyBuffer
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.serving.settings.ClockReading

/** Collects the body of a request up to [maxBytes]. */
internal class RequestAggregator(private val head: HttpRequest, private val maxBytes: Int) {
    /** Heap that the head takes. */
    val headBytes = HeadCost.of(head)
    private val body = BodyBuffer(declaredBytes(), maxBytes)
    private var capacity = 0

    /** Heap that the request takes, with what was last prepared. */
    val heldBytes: Long get() = headBytes + capacity

    /** Makes room for [more] bytes; returns false if the body would exceed the limit. */
    fun prepare(more: Int): Boolean {
        capacity = body.capacityFor(more) ?: return false
        return true
    }

    /** Appends a part of the body, for which room was prepared. */
    fun add(bytes: ByteBuf) = body.add(bytes)

    fun complete(arrived: ClockReading) = CallerRequest(
        method = head.method(),
        uri = head.uri(),
        headers = head.headers(),
        body = body.toByteArray(),
        arrived = arrived
    )

    private fun declaredBytes(): Int? =
        HttpUtil.getContentLength(head, -1L).takeIf { it in 0..maxBytes }?.toInt()
}
