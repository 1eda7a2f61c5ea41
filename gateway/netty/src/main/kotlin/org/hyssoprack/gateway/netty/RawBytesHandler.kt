package org.hyssoprack.gateway.netty

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/** Shows [connection] received bytes before they are decoded; drops those that it refuses. */
internal class RawBytesHandler(private val connection: CallerConnection) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val isWanted = message !is ByteBuf || connection.onBytesReceived(message)
        if (isWanted) context.fireChannelRead(message) else ReferenceCountUtil.release(message)
    }
}
