package org.hyssoprack.gateway.netty

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred
import org.hyssoprack.gateway.ResponseWriter

/**
 * Writes a response to a caller's connection.
 *
 * @param hasBody whether the response may have a body; false for a response to a HEAD request.
 */
internal class ChannelAnswerWriter(
    private val channel: Channel,
    private val hasBody: Boolean,
    private val closes: () -> Boolean
) : ResponseWriter {
    private var writableSignal: CompletableDeferred<Unit>? = null

    override var isStarted = false
        private set

    var isComplete = false
        private set

    /** Whether the connection is closed after this response. */
    var isLast = false
        private set

    override suspend fun answer(status: Int, headers: HttpHeaders, body: ByteArray) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            if (hasBody) Unpooled.wrappedBuffer(body) else Unpooled.EMPTY_BUFFER
        )
        response.headers().set(headers)
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBody) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        begin(response)
        complete(response)
    }

    override suspend fun start(status: Int, headers: HttpHeaders) {
        val response =
            DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().set(headers)
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
        if (hasBody) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        begin(response)
        channel.writeAndFlush(response)
    }

    override suspend fun send(bytes: ByteArray) {
        if (!hasBody) return
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (channel.isWritable) return
        val waiting = CompletableDeferred<Unit>()
        writableSignal = waiting
        waiting.await()
    }

    override suspend fun end() = complete(LastHttpContent.EMPTY_LAST_CONTENT)

    override fun abort() {
        channel.close()
    }

    /** Resumes [send], which waits while the channel's write buffer is full. */
    fun onWritable() {
        writableSignal?.complete(Unit)
        writableSignal = null
    }

    private fun begin(response: HttpResponse) {
        isStarted = true
        isLast = closes()
        if (!isLast) return
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun complete(message: Any) {
        isComplete = true
        val written = channel.writeAndFlush(message)
        if (isLast) written.addListener(ChannelFutureListener.CLOSE)
    }
}
