package org.hyssoprack.gateway.netty

import arrow.core.Either
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CoroutineScope
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.SystemClock
import org.hyssoprack.gateway.RequestHandler
import org.hyssoprack.serving.settings.CallerLimits

/**
 * HTTP server for callers on one address.
 *
 * @param budget what all connections of the host may hold together.
 * @param limits read for each new connection, since settings change at runtime.
 */
class CallerServer(
    private val loop: HostEventLoop,
    private val scope: CoroutineScope,
    private val handler: RequestHandler,
    private val errorResponses: ErrorResponses,
    private val limits: () -> CallerLimits,
    private val clock: Clock = SystemClock,
    private val budget: ByteBudget = ByteBudget()
) {
    private val connections = HashSet<CallerConnection>()
    private var listener: Channel? = null
    private var isDraining = false

    /** Binds [address]. Fails with HOST_UNREACHABLE if that is not possible. */
    suspend fun listen(address: NetworkAddress): Either<Failure, Unit> = Either.catch {
        val bootstrap = ServerBootstrap()
            .group(loop.eventLoop, loop.eventLoop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, READ_BUFFERS)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .childHandler(initializer())
        listener = bootstrap.bind(address.ip, address.port).awaitChannel()
    }.mapLeft { Failure(ResultCode.HOST_UNREACHABLE, "$address: ${it.message}") }

    /** Makes each connection close after its next response. */
    fun drain() {
        isDraining = true
    }

    /** Closes connections that have no request in progress. */
    fun closeIdle() {
        connections.filter { it.isIdle }.forEach { it.close() }
    }

    private fun initializer() = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val currentLimits = limits()
            val connection = CallerConnection(
                scope = scope,
                handler = handler,
                errorResponses = errorResponses,
                limits = currentLimits,
                budget = budget,
                isDraining = { isDraining },
                onClosed = { connections.remove(it) },
                clock = clock
            )
            makeRoom()
            connections.add(connection)
            channel.pipeline().addLast(
                RawBytesHandler(connection),
                StrictRequestDecoder(currentLimits.maxHeaderBytes, budget.limits()),
                HttpResponseEncoder(),
                connection
            )
        }
    }

    // A crowd that keeps connections open without a request must not keep ordinary callers out.
    private fun makeRoom() {
        if (connections.size < budget.limits().maxConnections) return
        val longest = connections.filter { it.isIdle }.minByOrNull { it.sinceMs }
            ?: connections.filter { it.isIncomplete }.minByOrNull { it.sinceMs }
            ?: return
        budget.recordRefusal(BudgetReason.CONNECTIONS, 0, longest.sinceMs)
        connections.remove(longest)
        longest.close()
    }

    private companion object {
        // Queue length for connections that callers open while the event loop's thread does not run.
        const val BACKLOG = 1_024

        // A connection with an incomplete head keeps one such buffer.
        val READ_BUFFERS = AdaptiveRecvByteBufAllocator(512, 2_048, 16_384)
        val WATER_MARK = WriteBufferWaterMark(32_768, 131_072)
    }
}
