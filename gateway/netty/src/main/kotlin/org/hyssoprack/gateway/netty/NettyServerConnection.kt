package org.hyssoprack.gateway.netty

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpRequest
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
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.channels.ClosedChannelException
import kotlinx.coroutines.CompletableDeferred
import org.hyssoprack.gateway.ResponsePart
import org.hyssoprack.gateway.ServerConnection

/**
 * [ServerConnection] over a Netty channel, behind its [decoder].
 *
 * @param onDropped called for each response that is not going to be read.
 */
internal class NettyServerConnection(
    override val number: Long,
    private val onDropped: (DropReason) -> Unit,
    private val budget: ByteBudget = ByteBudget(),
    private val onIdle: (NettyServerConnection, Long) -> Unit
) : ChannelInboundHandlerAdapter(),
    ServerConnection,
    HoldingOwner {
    private lateinit var holding: Holding
    val decoder = ServerResponseDecoder()
    private val parts = ArrayDeque<ResponsePart>()
    private var bufferedBytes = 0

    /** Body bytes of the current read, which become one part however many chunks they were in. */
    private val chunks = ArrayList<ByteArray>()
    private var arrival: CompletableDeferred<Unit>? = null
    private var failure: String? = null
    private var isAwaitingResponse = false
    private var isIdle = false

    /**
     * Whether a part of the request has still to be written, also after an early response; stays
     * set if the write fails.
     */
    private var isWriting = false

    /** Whether the response has neither a length nor chunks, so that it ends with its connection. */
    private var isUnframed = false
    private var isReusable = true
    private var isClosedHere = false
    private var isInterim = false
    private var interimCount = 0
    private val carried = CarriedIds()

    var channel: Channel? = null
        private set

    override var exchangeCount = 0
        private set

    /** Whether the connection can take a new request. */
    val isUsable: Boolean
        get() = isReusable &&
            !isWriting &&
            !isAwaitingResponse &&
            !decoder.hasUndecodedBytes &&
            channel?.isActive == true

    /** Takes the connection out of the pool; what it receives from now on is read. */
    fun take() {
        isIdle = false
    }

    /** Whether a request with [id] was sent on this connection. */
    fun hasCarried(id: String): Boolean = id in carried

    override fun send(
        method: HttpMethod,
        uri: String,
        headers: HttpHeaders,
        body: ByteArray,
        requestId: String?
    ) {
        exchangeCount++
        if (requestId != null) carried += requestId
        decoder.isForHead = method == HttpMethod.HEAD
        // A late copy of an answer to a HEAD request cannot be told from one with a body.
        if (decoder.isForHead || carried.isFull) isReusable = false
        interimCount = 0
        isAwaitingResponse = true
        isWriting = true
        val isWhole = body.size <= RequestBodyWriter.PIECE_BYTES
        val request = if (isWhole) {
            val content = Unpooled.wrappedBuffer(body)
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, content)
        } else {
            DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri)
        }
        request.headers().set(headers)
        request.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
        if (body.isNotEmpty() || method != HttpMethod.GET) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        val target = channel ?: return
        val written = target.writeAndFlush(request)
        if (isWhole) {
            written.addListener { recordWritten(it.cause()) }
        } else {
            RequestBodyWriter(target, body, ::recordWritten).write()
        }
    }

    override fun onPressureChanged() = Unit

    override fun onEvicted() = Unit

    // After a failed write Netty closes the channel without exceptionCaught, and the decoder ends a
    // response without a length as if the server had closed the connection.
    private fun recordWritten(cause: Throwable?) {
        if (cause == null) isWriting = false
        val isReset = cause is IOException && cause !is ClosedChannelException
        if (isReset) failure = failure ?: cause?.message ?: "write failed"
    }

    override suspend fun next(): ResponsePart {
        while (parts.isEmpty()) awaitArrival()
        val part = parts.removeFirst()
        if (part is ResponsePart.Body) bufferedBytes -= part.bytes.size
        updateHeld()
        val isRead = parts.size < RESUME_PARTS && bufferedBytes < RESUME_BYTES
        if (isRead) channel?.config()?.isAutoRead = true
        return part
    }

    // If the wait is cancelled just as a part arrives, only the signal is lost, not the part.
    private suspend fun awaitArrival() {
        val signal = CompletableDeferred<Unit>()
        arrival = signal
        signal.await()
    }

    private fun updateHeld() = budget.resize(holding, bufferedBytes.toLong())

    override fun release(idleMs: Long) {
        repeat(parts.count { it is ResponsePart.Head }) { onDropped(DropReason.AFTER_RESPONSE) }
        if (!isUsable || parts.isNotEmpty() || idleMs <= 0) return close()
        isIdle = true
        onIdle(this, idleMs)
    }

    override fun close() {
        channel?.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        holding = budget.open(this)
    }

    // Called also if the connection was never established.
    override fun handlerRemoved(context: ChannelHandlerContext) = budget.close(holding)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpResponse) readHead(message)
            if (message is HttpContent) readContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        putBody()
        context.fireChannelReadComplete()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failure = cause.message ?: cause.javaClass.simpleName
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isReusable = false
        isAwaitingResponse = false
        putBody()
        put(ResponsePart.Lost(failure ?: "closed", isClosedHere))
    }

    private fun readHead(head: HttpResponse) {
        val isFinal = head.status().codeClass() != HttpStatusClass.INFORMATIONAL
        if (isIdle && isFinal) onDropped(DropReason.IDLE)
        if (head.decoderResult().isFailure) return fail("not a valid HTTP response")
        if (holdsStatusLine(head)) return fail("two responses in one head")
        isInterim = !isFinal
        if (isInterim) {
            if (++interimCount > MAX_INTERIM_RESPONSES) {
                fail("more than $MAX_INTERIM_RESPONSES interim responses")
            }
            return
        }
        if (!isAwaitingResponse) isReusable = false
        if (!HttpUtil.isKeepAlive(head)) isReusable = false
        isUnframed =
            !HttpUtil.isContentLengthSet(head) &&
            !HttpUtil.isTransferEncodingChunked(head)
        put(ResponsePart.Head(head))
    }

    // A response that is cut off within its head is decoded as one head with the response after it:
    // the status of the first, and the id and the body of the second.
    private fun holdsStatusLine(head: HttpResponse): Boolean =
        STATUS_LINE.containsMatchIn(head.status().reasonPhrase()) ||
            head.headers().any { STATUS_LINE.containsMatchIn(it.value) }

    private fun readContent(content: HttpContent) {
        if (isInterim) return
        if (content.decoderResult().isFailure) return fail("malformed response body")
        val bytes = content.content()
        if (bytes.isReadable) chunks += ByteBufUtil.getBytes(bytes)
        if (content !is LastHttpContent || failure != null) return
        if (isCutOff()) {
            failure = "closed before the request was written"
            return
        }
        isAwaitingResponse = false
        putBody()
        put(ResponsePart.End)
    }

    // Only the end of the connection marks the end of such a response, and a server that ends it
    // without having read the request has not completed its response.
    private fun isCutOff() = isUnframed && isWriting && channel?.isActive == false

    private fun fail(reason: String) {
        failure = reason
        isClosedHere = true
        isReusable = false
        channel?.close()
    }

    private fun putBody() {
        if (chunks.isEmpty()) return
        val bytes = chunks.singleOrNull() ?: joined(chunks)
        chunks.clear()
        bufferedBytes += bytes.size
        put(ResponsePart.Body(bytes))
    }

    private fun joined(chunks: List<ByteArray>): ByteArray {
        val all = ByteArrayOutputStream(chunks.sumOf { it.size })
        chunks.forEach { all.write(it) }
        return all.toByteArray()
    }

    private fun put(part: ResponsePart) {
        parts.addLast(part)
        updateHeld()
        val stopBytes = if (budget.isShort) RESUME_BYTES else STOP_BYTES
        val isFull = parts.size > STOP_PARTS || bufferedBytes > stopBytes
        if (isFull) channel?.config()?.isAutoRead = false
        arrival?.complete(Unit)
        arrival = null
    }

    private companion object {
        val STATUS_LINE = Regex("""HTTP/1\.\d \d{3}""")

        // Servers send at most one or two interim responses; more indicate an endless sequence.
        const val MAX_INTERIM_RESPONSES = 8

        // Buffered parts and bytes at which reading from the server stops, because the caller reads
        // slowly. They also bound the work on one connection between two turns of the event loop.
        const val STOP_PARTS = 64
        const val STOP_BYTES = 262_144
        const val RESUME_PARTS = 16
        const val RESUME_BYTES = 65_536
    }
}
