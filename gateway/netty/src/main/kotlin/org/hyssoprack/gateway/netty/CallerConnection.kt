package org.hyssoprack.gateway.netty

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
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
import kotlinx.coroutines.CompletableDeferred
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
    private val budget: ByteBudget,
    private val isDraining: () -> Boolean,
    private val onClosed: (CallerConnection) -> Unit,
    private val clock: Clock
) : ChannelInboundHandlerAdapter(),
    HoldingOwner {
    private val headCheck = HeadCheck(limits, budget.limits())
    private val holding = budget.open(this)
    private val pipelined = ArrayDeque<HeldRequest>()
    private var current: HeldRequest? = null
    private var undecodedBytes = 0L
    private var context: ChannelHandlerContext? = null
    private var assembly: RequestAggregator? = null
    private var serving: Job? = null
    private var writer: ChannelAnswerWriter? = null
    private var timer: ScheduledFuture<*>? = null
    private var isReadingHead = false
    private var isRefused = false

    /** Whether no request is being read or served. */
    val isIdle: Boolean
        get() = serving == null && assembly == null && !isReadingHead && pipelined.isEmpty()

    /** Time since which the connection is idle, or reads a request. */
    var sinceMs = clock.nowMs()
        private set

    /** Whether a request has been read in part. */
    val isIncomplete: Boolean get() = holding.incompleteSinceMs != null

    fun close() {
        context?.close()
    }

    /** Counts received bytes before they are decoded; returns whether they are to be decoded. */
    fun onBytesReceived(bytes: ByteBuf): Boolean {
        if (isRefused) return false
        if (isIdle) beginHead()
        if (assembly == null) {
            val mostBytes = HeadCost.most(limits.maxHeaderBytes, budget.limits().maxHeaderLines)
            undecodedBytes = minOf(mostBytes, undecodedBytes + HeadCost.of(bytes))
            updateHeld()
        }
        return !isRefused
    }

    private fun beginHead() {
        isReadingHead = true
        sinceMs = clock.nowMs()
        startTimer(limits.headerTimeoutMs) { refuse(headCheck.incomplete("the head")) }
    }

    override fun onPressureChanged() = updateReading()

    override fun onEvicted() =
        refuse(notRun(ResultCode.MEMORY_SHORT, "The host holds too much for its callers."))

    private fun updateReading() {
        val isFull = pipelined.size > MAX_PIPELINED
        val mayRead = isRefused || (!isFull && budget.mayRead(holding))
        context?.channel()?.config()?.isAutoRead = mayRead
    }

    private fun updateHeld() {
        val incomplete = undecodedBytes + (assembly?.heldBytes ?: 0)
        val complete = (current?.bytes ?: 0) + pipelined.sumOf { it.bytes } + holding.grantedBytes
        holding.incompleteBytes = incomplete
        holding.incompleteSinceMs =
            if (incomplete == 0L) null else holding.incompleteSinceMs ?: clock.nowMs()
        budget.resize(holding, CONNECTION_BYTES + incomplete + complete)
        updateReading()
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
        if (!context.channel().isWritable) return
        writer?.onWritable()
        if (serving == null && pipelined.isNotEmpty()) serveNext()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        pipelined.clear()
        assembly = null
        budget.close(holding)
        // A complete response fails to be written, and its request has been recorded.
        if (writer?.isComplete != true) serving?.cancel()
        onClosed(this)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun readHead(head: HttpRequest) {
        isReadingHead = false
        undecodedBytes = 0
        val fault = headCheck.faultOf(head)
        if (fault != null) return refuse(fault)
        if (HttpUtil.is100ContinueExpected(head)) writeContinue()
        assembly = RequestAggregator(head, limits.maxBodyBytes)
        startTimer(limits.idleTimeoutMs) { refuse(headCheck.incomplete("the body")) }
        updateHeld()
    }

    private fun readBody(content: HttpContent) {
        val reading = assembly ?: return
        if (content.decoderResult().isFailure) return refuse(headCheck.faultOf(content))
        val bytes = content.content()
        if (!reading.prepare(bytes.readableBytes())) return refuse(headCheck.tooLarge())
        updateHeld()
        if (isRefused) return
        reading.add(bytes)
        if (content !is LastHttpContent) return
        assembly = null
        timer?.cancel(false)
        pipelined += HeldRequest(reading.complete(ClockReading.now(clock)), reading.headBytes)
        updateHeld()
        if (serving == null) serveNext()
    }

    /** Serves the next request once the caller has read enough of the responses before it. */
    private fun serveNext() {
        val channel = context?.channel() ?: return
        if (!channel.isWritable) return waitForRequest()
        current = pipelined.removeFirstOrNull()
        updateHeld()
        val request = current?.request ?: return waitForRequest()
        val answer = answerTo(request, channel)
        writer = answer
        serving = scope.launch {
            try {
                handler.handle(request, answer)
            } finally {
                onServed(answer)
            }
        }
    }

    private fun answerTo(request: CallerRequest, channel: Channel): ChannelAnswerWriter {
        val connection = HttpHeaderNames.CONNECTION
        val closes = isDraining() ||
            request.headers.containsValue(connection, HttpHeaderValues.CLOSE, true)
        return ChannelAnswerWriter(
            channel = channel,
            hasBody = request.method != HttpMethod.HEAD,
            writeWithinMs = limits.idleTimeoutMs,
            waitForRoom = ::waitForRoom,
            onWriting = ::updateHeld,
            closes = { closes || isDraining() }
        )
    }

    private suspend fun waitForRoom(bytes: Int) {
        val granted = CompletableDeferred<Unit>()
        budget.request(holding, bytes.toLong()) { granted.complete(Unit) }
        granted.await()
    }

    private fun onServed(answer: ChannelAnswerWriter) {
        serving = null
        writer = null
        current = null
        budget.release(holding)
        if (!answer.isComplete) return close()
        if (answer.isLast) return startTimer(limits.idleTimeoutMs) { close() }
        serveNext()
    }

    private fun waitForRequest() {
        if (isRefused || assembly != null || isReadingHead) return
        sinceMs = clock.nowMs()
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
        if (failure.code == ResultCode.TOO_MANY_LINES) {
            budget.recordRefusal(BudgetReason.LINES, holding.bytes, holding.incompleteSinceMs)
        }
        timer?.cancel(false)
        assembly = null
        undecodedBytes = 0
        updateHeld()
        scope.launch {
            // Requests read before the rejected one are served first, one after the other.
            while (serving != null) serving?.join()
            writeRefusal(failure)
        }
    }

    /**
     * Writes the response and ends the connection's output. What the caller still sends is dropped
     * for a while, since closing at once could discard the response on its way.
     */
    private fun writeRefusal(failure: Failure) {
        startTimer(LINGER_MS) { close() }
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(errorResponses.statusOf(failure))
        )
        response.headers().set(errorResponses.headersOf(failure))
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context?.writeAndFlush(response)?.addListener { endOutput() }
    }

    private fun endOutput() {
        (context?.channel() as? SocketChannel)?.shutdownOutput()
    }

    private fun notRun(code: ResultCode, detail: String) = Failure(code, detail, RETRY_MS)

    private companion object {
        // Estimate of what Netty keeps for an open connection.
        const val CONNECTION_BYTES = 4_096L

        // Time for a refused caller to read the response, whether it does or not.
        const val LINGER_MS = 1_000L

        // Longer than it takes to relieve the pressure on memory.
        const val RETRY_MS = 500L

        // Pipelined requests per connection; beyond that, reading stops until one is served.
        const val MAX_PIPELINED = 8
    }
}
