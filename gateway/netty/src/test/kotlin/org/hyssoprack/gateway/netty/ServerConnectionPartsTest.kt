package org.hyssoprack.gateway.netty

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThanOrEqualTo
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.io.ByteArrayOutputStream
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.gateway.ResponsePart

/** Guards against work and memory that grow with the number of chunks instead of their bytes. */
class ServerConnectionPartsTest {
    @Example
    fun `the chunks of one read are one part, however small they are`() {
        class Case(val chunkBytes: Int, val chunks: Int)
        val cases = listOf(Case(1, 10_000), Case(16, 3_000), Case(4_000, 16), Case(60_000, 1))
        for (case in cases) {
            val connection = connection()
            val body = ByteArray(case.chunkBytes * case.chunks) { (it % 251).toByte() }
            val wire = head() + body.toList().chunked(case.chunkBytes).map { chunk(it) }
                .fold(ByteArrayOutputStream()) { all, bytes -> all.also { it.write(bytes) } }
                .toByteArray() + END
            connection.channel.writeInbound(Unpooled.wrappedBuffer(wire))
            val parts = runBlocking { List(PARTS) { connection.handler.next() } }
            assertThat((parts[1] as ResponsePart.Body).bytes.toList(), "${case.chunkBytes}")
                .isEqualTo(body.toList())
            assertThat(parts[2], "${case.chunkBytes}").isEqualTo(ResponsePart.End)
        }
    }

    @Example
    fun `reading stops at a number of buffered bytes, and resumes once they are taken`() {
        val connection = connection()
        connection.channel.writeInbound(Unpooled.wrappedBuffer(head()))
        val read = chunk(List(16) { 1 })
        var sent = 0
        while (connection.channel.config().isAutoRead) {
            val reads = ByteArrayOutputStream().also { out ->
                repeat(READ_CHUNKS) { out.write(read) }
            }
            connection.channel.writeInbound(Unpooled.wrappedBuffer(reads.toByteArray()))
            sent += READ_CHUNKS * 16
        }
        assertThat(sent).isBetween(MOST_BYTES - READ_CHUNKS * 16, MOST_BYTES + READ_CHUNKS * 16)
        runBlocking {
            connection.handler.next()
            var left = sent
            while (!connection.channel.config().isAutoRead) {
                left -= (connection.handler.next() as ResponsePart.Body).bytes.size
            }
            assertThat(left).isLessThanOrEqualTo(MOST_BYTES)
        }
    }

    @Example
    fun `the bytes before a malformed chunk are not lost, and the response is not whole`() {
        val connection = connection()
        val wire = head() + chunk(listOf(7, 8)) + "not a size\r\n".encodeToByteArray()
        connection.channel.writeInbound(Unpooled.wrappedBuffer(wire))
        runBlocking {
            connection.handler.next()
            val body = connection.handler.next() as ResponsePart.Body
            assertThat(body.bytes.toList()).isEqualTo(listOf<Byte>(7, 8))
            val end = connection.handler.next() as ResponsePart.Lost
            assertThat(end.isClosedHere).isEqualTo(true)
        }
    }

    private class Opened(val handler: NettyServerConnection, val channel: EmbeddedChannel)

    private fun connection(): Opened {
        val handler = NettyServerConnection(number = 1, onDropped = {}) { _, _ -> }
        val channel = EmbeddedChannel(handler.decoder, handler)
        handler.send(HttpMethod.GET, "/", DefaultHttpHeaders(), ByteArray(0), requestId = null)
        return Opened(handler, channel)
    }

    private fun head() = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".encodeToByteArray()

    private fun chunk(bytes: List<Byte>): ByteArray =
        "${bytes.size.toString(16)}\r\n".encodeToByteArray() + bytes.toByteArray() + LINE_END

    private companion object {
        val LINE_END = "\r\n".encodeToByteArray()
        val END = "0\r\n\r\n".encodeToByteArray()

        /** Head, body and end. */
        const val PARTS = 3

        /** Chunks of 16 bytes in one read. */
        const val READ_CHUNKS = 2_000
        const val MOST_BYTES = 262_144
    }
}
