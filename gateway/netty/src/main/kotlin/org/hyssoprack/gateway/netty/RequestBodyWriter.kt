package org.hyssoprack.gateway.netty

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent

/**
 * Writes the body of a request one piece after the other, since Netty copies what it writes into
 * direct memory, which a server that reads slowly keeps in use.
 *
 * @param onWritten called once, with the cause of a failure or null.
 */
internal class RequestBodyWriter(
    private val channel: Channel,
    private val body: ByteArray,
    private val onWritten: (Throwable?) -> Unit
) {
    private var written = 0

    fun write() {
        val count = minOf(PIECE_BYTES, body.size - written)
        val piece = Unpooled.wrappedBuffer(body, written, count)
        written += count
        val isLast = written == body.size
        val content = if (isLast) DefaultLastHttpContent(piece) else DefaultHttpContent(piece)
        channel.writeAndFlush(content).addListener {
            if (isLast || !it.isSuccess) onWritten(it.cause()) else write()
        }
    }

    companion object {
        const val PIECE_BYTES = 65_536
    }
}
