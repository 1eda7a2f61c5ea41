package org.hyssoprack.gateway.netty

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Notifies [connection] of received bytes before they are decoded. */
internal class RawBytesHandler(private val connection: CallerConnection) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.onBytesReceived()
        context.fireChannelRead(message)
    }
}
