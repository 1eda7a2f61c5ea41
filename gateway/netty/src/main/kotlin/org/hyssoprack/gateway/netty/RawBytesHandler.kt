package org.hyssoprack.gateway.netty

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tells a connection of bytes before they are decoded. */
internal class RawBytesHandler(private val connection: CallerConnection) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.bytesArrived()
        context.fireChannelRead(message)
    }
}
