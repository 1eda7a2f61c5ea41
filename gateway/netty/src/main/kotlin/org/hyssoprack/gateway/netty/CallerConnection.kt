package org.hyssoprack.gateway.netty

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.RequestHandler
import org.hyssoprack.serving.settings.CallerLimits
import org.hyssoprack.serving.settings.ClockReading

/** One connection of a caller: reads requests within [limits] and serves them sequentially. */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val handler: RequestHandler,
    private val errorResponses: ErrorResponses,
    private val limits: CallerLimits,
    private val isDraining: () -> Boolean,
    private val onClosed: (CallerConnection) -> Unit,
    private val clock: Clock
) : ChannelInboundHandlerAdapter() {
    private val pipelined = ArrayDeque<CallerRequest>()
    private var context: ChannelHandlerContext? = null
    private var assembly: RequestAggregator? = null
    private var serving: Job? = null
    private var writer: ChannelAnswerWriter? = null
    private var timer: ScheduledFuture<*>? = null
    private var isReadingHead = false
    private var isRefused = false

    /** Whether no request is being read or served. */
    val isIdle: Boolean
        get() = serving == null && assembly == null && !isReadingHead

    fun close() {
        context?.close()
    }

    /** Starts the header timeout if the received bytes are the first of a request. */
    fun onBytesReceived() {
        if (!isIdle) return
        isReadingHead = true
        startTimer(limits.headerTimeoutMs) { refuse(incomplete("the head")) }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelActive(context: ChannelHandlerContext) = waitForRequest()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (isRefused) return
            if (message is HttpRequest) readHead(message)
            if (message is HttpContent) readBody(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) writer?.onWritable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        pipelined.clear()
        serving?.cancel()
        onClosed(this)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun readHead(head: HttpRequest) {
        isReadingHead = false
        val fault = faultOf(head)
        if (fault != null) return refuse(fault)
        if (HttpUtil.is100ContinueExpected(head)) writeContinue()
        assembly = RequestAggregator(head, limits.maxBodyBytes)
        startTimer(limits.idleTimeoutMs) { refuse(incomplete("the body")) }
    }

    private fun faultOf(head: HttpRequest): Failure? {
        val cause = head.decoderResult().cause()
        return when {
            cause is TooLongFrameException ->
                Failure(
                    code = ResultCode.HEADERS_TOO_LARGE,
                    detail = "The request head is larger than ${limits.maxHeaderBytes} bytes."
                )

            cause != null -> malformed("The request head is not valid HTTP.")

            head.protocolVersion() != HttpVersion.HTTP_1_1 ->
                malformed("Expected HTTP/1.1, found ${head.protocolVersion()}.")

            head.headers().getAll(HttpHeaderNames.HOST).size != 1 ->
                malformed("Expected exactly one Host header.")

            !isCodingSupported(
                head
            ) -> malformed("The only supported transfer coding is 'chunked'.")

            HttpUtil.getContentLength(head, 0L) > limits.maxBodyBytes -> tooLarge()

            else -> null
        }
    }

    // With other codings, intermediaries may disagree on where the body ends (request smuggling).
    private fun isCodingSupported(head: HttpRequest): Boolean {
        val codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return codings.isEmpty() || codings.singleOrNull().equals("chunked", ignoreCase = true)
    }

    private fun readBody(content: HttpContent) {
        val current = assembly ?: return
        if (content.decoderResult().isFailure) return refuse(malformed("Malformed request body."))
        if (!current.add(content.content())) return refuse(tooLarge())
        if (content !is LastHttpContent) return
        assembly = null
        timer?.cancel(false)
        pipelined += current.complete(ClockReading.now(clock))
        if (pipelined.size > MAX_PIPELINED) context?.channel()?.config()?.isAutoRead = false
        if (serving == null) serveNext()
    }

    private fun serveNext() {
        val request = pipelined.removeFirstOrNull() ?: return waitForRequest()
        val channel = context?.channel() ?: return
        channel.config().isAutoRead = true
        val closes = isDraining() ||
            request.headers.containsValue(
                HttpHeaderNames.CONNECTION,
                HttpHeaderValues.CLOSE,
                true
            )
        val answer = ChannelAnswerWriter(
            channel = channel,
            hasBody = request.method != HttpMethod.HEAD,
            closes = { closes || isDraining() }
        )
        writer = answer
        serving = scope.launch {
            try {
                handler.handle(request, answer)
            } finally {
                onServed(answer)
            }
        }
    }

    private fun onServed(answer: ChannelAnswerWriter) {
        serving = null
        writer = null
        if (!answer.isComplete) return close()
        if (answer.isLast) return
        serveNext()
    }

    private fun waitForRequest() {
        if (assembly != null || isReadingHead) return
        startTimer(limits.idleTimeoutMs) { close() }
    }

    private fun startTimer(delayMs: Long, action: () -> Unit) {
        timer?.cancel(false)
        val loop = context?.channel()?.eventLoop() ?: return
        timer = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun writeContinue() {
        val status = HttpResponseStatus.CONTINUE
        context?.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status))
    }

    /** Rejects a request that cannot be read, after the responses to earlier requests. */
    private fun refuse(failure: Failure) {
        if (isRefused) return
        isRefused = true
        timer?.cancel(false)
        assembly = null
        scope.launch {
            // Requests read before the rejected one are served first, one after the other.
            while (serving != null) serving?.join()
            writeRefusal(failure)
        }
    }

    private fun writeRefusal(failure: Failure) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(errorResponses.statusOf(failure))
        )
        response.headers().set(errorResponses.headersOf(failure))
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context?.writeAndFlush(response)?.addListener(ChannelFutureListener.CLOSE)
    }

    private fun incomplete(what: String) =
        Failure(ResultCode.REQUEST_INCOMPLETE, "$what did not arrive within the time limit.")

    private fun malformed(detail: String) = Failure(ResultCode.REQUEST_MALFORMED, detail)

    private fun tooLarge() = Failure(
        code = ResultCode.BODY_TOO_LARGE,
        detail = "The request body is larger than ${limits.maxBodyBytes} bytes."
    )

    private companion object {
        // Pipelined requests per connection; beyond that, reading stops until one is served.
        const val MAX_PIPELINED = 8
    }
}
