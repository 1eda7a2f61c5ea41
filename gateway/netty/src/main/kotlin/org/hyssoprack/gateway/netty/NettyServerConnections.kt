package org.hyssoprack.gateway.netty

import arrow.core.Either
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.SystemClock
import org.hyssoprack.gateway.ServerConnection
import org.hyssoprack.gateway.ServerConnections

/**
 * Connection pool by server address; reuses the most recently used connection first.
 *
 * @param budget what all connections of the host may hold together.
 * @param onDropped called for each response that is dropped with its connection.
 */
class NettyServerConnections(
    private val loop: HostEventLoop,
    private val clock: Clock = SystemClock,
    private val budget: ByteBudget = ByteBudget(),
    private val onDropped: (DropReason) -> Unit = {}
) : ServerConnections {
    private val idle = HashMap<NetworkAddress, ArrayDeque<IdleConnection>>()

    /** Number of connections that were opened, or tried. */
    private var opened = 0L

    private class IdleConnection(val connection: NettyServerConnection, val untilMs: Long)

    override suspend fun open(
        address: NetworkAddress,
        connectTimeoutMs: Int,
        requestId: String?
    ): Either<Failure, ServerConnection> {
        val pooled = takeIdle(address, requestId)
        return pooled?.right() ?: connect(address, connectTimeoutMs)
    }

    override fun forget(address: NetworkAddress) {
        idle.remove(address)?.forEach { it.connection.close() }
    }

    /** Closes connections whose idle time is over and those closed by the server. */
    fun closeExpired() {
        val nowMs = clock.nowMs()
        idle.values.forEach { list ->
            list.filter { it.untilMs <= nowMs || !it.connection.isUsable }.forEach {
                it.connection.close()
                list.remove(it)
            }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    private fun takeIdle(address: NetworkAddress, requestId: String?): NettyServerConnection? {
        val list = idle[address] ?: return null
        while (true) {
            val last = list.lastOrNull { !hasCarried(it.connection, requestId) } ?: return null
            list.remove(last)
            val connection = last.connection
            val isFresh = connection.isUsable && clock.nowMs() < last.untilMs
            if (isFresh) return connection.also { it.take() }
            connection.close()
        }
    }

    private fun hasCarried(connection: NettyServerConnection, id: String?) =
        id != null && connection.hasCarried(id)

    private suspend fun connect(
        address: NetworkAddress,
        timeoutMs: Int
    ): Either<Failure, ServerConnection> {
        val connection = NettyServerConnection(++opened, onDropped, budget) { idled, idleMs ->
            addIdle(address, idled, idleMs)
        }
        return Either.catch {
            bootstrap(connection, timeoutMs).connect(address.ip, address.port).awaitChannel()
            connection
        }.mapLeft { Failure(ResultCode.BACKEND_REFUSED, "$address: ${it.message}") }
    }

    private fun addIdle(address: NetworkAddress, connection: NettyServerConnection, idleMs: Long) {
        val pooled = IdleConnection(connection, untilMs = clock.nowMs() + idleMs)
        idle.getOrPut(address) { ArrayDeque() }.addLast(pooled)
    }

    private fun bootstrap(connection: NettyServerConnection, timeoutMs: Int) = Bootstrap()
        .group(loop.eventLoop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(
                    HttpRequestEncoder(),
                    connection.decoder,
                    connection
                )
            }
        })
}
