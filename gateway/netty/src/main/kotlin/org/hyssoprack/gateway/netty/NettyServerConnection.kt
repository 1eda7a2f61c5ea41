package org.hyssoprack.gateway.netty

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import org.hyssoprack.gateway.ResponsePart
import org.hyssoprack.gateway.ServerConnection

/** [ServerConnection] over a Netty channel. */
internal class NettyServerConnection(private val onIdle: (NettyServerConnection, Long) -> Unit) :
    ChannelInboundHandlerAdapter(),
    ServerConnection {
    private val parts = ArrayDeque<ResponsePart>()
    private var arrival: CompletableDeferred<Unit>? = null
    private var failure: String? = null
    private var isExpecting = false
    private var isClean = true
    private var isInterim = false
    private var interims = 0
    private var exchanges = 0

    var channel: Channel? = null
        private set

    override val isReused: Boolean get() = exchanges > 1

    /** Whether a request may be written to it. */
    val isUsable: Boolean
        get() = isClean && !isExpecting && channel?.isActive == true

    override fun send(method: HttpMethod, uri: String, headers: HttpHeaders, body: ByteArray) {
        exchanges++
        interims = 0
        isExpecting = true
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            uri,
            Unpooled.wrappedBuffer(body)
        )
        request.headers().set(headers)
        request.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
        if (body.isNotEmpty() || method != HttpMethod.GET) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        channel?.writeAndFlush(request)
    }

    override suspend fun next(): ResponsePart {
        while (parts.isEmpty()) awaitArrival()
        if (parts.size < RESUME_READING) channel?.config()?.isAutoRead = true
        return parts.removeFirst()
    }

    // Only the signal is lost if the wait is cancelled in the moment in which a part arrives.
    private suspend fun awaitArrival() {
        val signal = CompletableDeferred<Unit>()
        arrival = signal
        signal.await()
    }

    override fun release(idleMs: Long) {
        if (isUsable && parts.isEmpty() && idleMs > 0) onIdle(this, idleMs) else close()
    }

    override fun close() {
        channel?.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpResponse) readHead(message)
            if (message is HttpContent) readContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failure = cause.message ?: cause.javaClass.simpleName
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isClean = false
        isExpecting = false
        put(ResponsePart.Lost(failure ?: "closed"))
    }

    private fun readHead(head: HttpResponse) {
        if (head.decoderResult().isFailure) return broken("not an answer in HTTP")
        isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isInterim) {
            if (++interims > MAX_INTERIMS) broken("interim answers without end")
            return
        }
        if (!isExpecting) isClean = false
        if (!HttpUtil.isKeepAlive(head)) isClean = false
        put(ResponsePart.Head(head))
    }

    private fun readContent(content: HttpContent) {
        if (isInterim) return
        if (content.decoderResult().isFailure) return broken("malformed body")
        val bytes = content.content()
        if (bytes.isReadable) put(ResponsePart.Body(ByteBufUtil.getBytes(bytes)))
        if (content !is LastHttpContent || failure != null) return
        isExpecting = false
        put(ResponsePart.End)
    }

    private fun broken(reason: String) {
        failure = reason
        isClean = false
        channel?.close()
    }

    private fun put(part: ResponsePart) {
        parts.addLast(part)
        if (parts.size > STOP_READING) channel?.config()?.isAutoRead = false
        arrival?.complete(Unit)
        arrival = null
    }

    private companion object {
        // Servers send one or two at most; more are bytes without end.
        const val MAX_INTERIMS = 8

        // Parts that wait for a slow caller before the server is made to wait.
        const val STOP_READING = 64
        const val RESUME_READING = 16
    }
}
