package org.hyssoprack.gateway.netty

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses on a server's connection, within bounds. */
internal class ServerResponseDecoder : HttpResponseDecoder(BOUNDS) {
    /** Whether the next response answers a HEAD request: it ends with its head, whatever its length. */
    var isForHead = false

    private var isWithinHead = false

    /** Whether the server has sent a part of a message that is not decoded yet. */
    val hasUndecodedBytes: Boolean get() = isWithinHead || actualReadableBytes() > 0

    /** Creates the head; the decoder takes an exception for a malformed message. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        isWithinHead = true
        require(STATUS.matches(initialLine[1])) { "status outside 100 to 599" }
        return super.createMessage(initialLine)
    }

    override fun decode(context: ChannelHandlerContext, bytes: ByteBuf, out: MutableList<Any>) {
        super.decode(context, bytes, out)
        if (out.isNotEmpty()) isWithinHead = false
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isForHead || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Netty's decoder accepts any number that is not negative. */
        val STATUS = Regex("[1-5][0-9]{2}")
        val BOUNDS: HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(65_536)
            .setMaxHeaderSize(65_536)
            .setMaxChunkSize(65_536)
    }
}
