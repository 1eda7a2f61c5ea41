package org.hyssoprack.gateway.netty

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.gateway.ResponseWriter

/**
 * Writes a response to a caller's connection.
 *
 * @param writeWithinMs time after which a caller that has not read a complete response is cut off.
 * @param waitForRoom waits until the host may hold so many bytes of the response.
 * @param onWriting called when a complete response begins to be written, for which the request is
 *   no longer needed.
 * @param hasBody whether the response may have a body; false for a response to a HEAD request.
 */
internal class ChannelAnswerWriter(
    private val channel: Channel,
    private val hasBody: Boolean,
    private val writeWithinMs: Long,
    private val waitForRoom: suspend (Int) -> Unit,
    private val onWriting: () -> Unit,
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

    override suspend fun hold(bytes: Int) = waitForRoom(bytes)

    override suspend fun answer(status: Int, headers: HttpHeaders, body: ByteArray) {
        if (hasBody && body.size > PIECE_BYTES) return answerInPieces(status, headers, body)
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

    // Netty copies each piece into direct memory, which a caller that reads slowly keeps in use.
    private suspend fun answerInPieces(status: Int, headers: HttpHeaders, body: ByteArray) {
        val response =
            DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().set(headers)
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        begin(response)
        isComplete = true
        onWriting()
        channel.write(response)
        withTimeoutOrNull(writeWithinMs) { writePieces(body) } ?: abort()
    }

    /** Writes [body]; returns null if the connection is lost. */
    private suspend fun writePieces(body: ByteArray): Unit? {
        val lastFrom = (body.size - 1) / PIECE_BYTES * PIECE_BYTES
        for (from in 0 until lastFrom step PIECE_BYTES) {
            val piece = Unpooled.wrappedBuffer(body, from, PIECE_BYTES)
            if (!isWritten(channel.writeAndFlush(DefaultHttpContent(piece)))) return null
        }
        val rest = Unpooled.wrappedBuffer(body, lastFrom, body.size - lastFrom)
        return complete(DefaultLastHttpContent(rest))
    }

    private suspend fun isWritten(writing: ChannelFuture): Boolean {
        val written = CompletableDeferred<Boolean>()
        writing.addListener { written.complete(it.isSuccess) }
        return written.await()
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

    private companion object {
        const val PIECE_BYTES = 65_536
    }
}
