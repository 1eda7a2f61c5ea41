package org.hyssoprack.gateway.netty

import assertk.assertThat
import assertk.assertions.isEmpty
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isGreaterThan
import assertk.assertions.isTrue
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.gateway.ResponsePart

/** Guards against a success that is the cut-off copy of an earlier answer and the failure after it. */
class CutCopyTest {
    private val copy = "HTTP/1.1 200 OK\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\n" +
        "Content-Type: text/plain\r\n$ID: a\r\nContent-Length: 2\r\n\r\nok"

    @Example
    fun `a copy that is cut off before the next answer never lends it its status`() {
        val failures = listOf(
            "HTTP/1.1 500 Internal Server Error\r\n$ID: b\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Service Unavailable\r\n$ID: b\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.0 500 \r\n$ID: b\r\nContent-Length: 0\r\n\r\n"
        )
        var whole = 0
        for (failure in failures) {
            val status = failure.split(' ')[1].toInt()
            for (cut in 0..copy.length) {
                val opened = afterFirstAnswer()
                opened.send("b")
                opened.read(copy.take(cut) + failure)
                val taken = opened.heads().filter { it.response.headers()[ID] == "b" }
                assertThat(taken.map { it.response.status().code() } - status, "cut at $cut")
                    .isEmpty()
                whole += taken.size
            }
        }
        assertThat(whole).isGreaterThan(failures.size)
    }

    @Example
    fun `a connection on which a copy is cut off is not used again`() {
        for (cut in 1..copy.length) {
            val opened = Opened()
            opened.send("a")
            opened.read(copy + copy.take(cut))
            opened.exchange()
            assertThat(opened.isIdle, "cut at $cut").isFalse()
            val later = afterFirstAnswer()
            later.read(copy.take(cut))
            assertThat(later.handler.isUsable, "cut at $cut, later").isFalse()
        }
    }

    private fun afterFirstAnswer(): Opened {
        val opened = Opened()
        opened.send("a")
        opened.read(copy)
        opened.exchange()
        assertThat(opened.isIdle).isTrue()
        assertThat(opened.handler.isUsable).isEqualTo(true)
        opened.handler.take()
        return opened
    }

    private class Opened {
        var isIdle = false
            private set
        val handler =
            NettyServerConnection(number = 1, onDropped = {}) { _, _ -> isIdle = true }
        private val channel = EmbeddedChannel(handler.decoder, handler)

        fun send(id: String) =
            handler.send(HttpMethod.GET, "/", DefaultHttpHeaders(), ByteArray(0), id)

        fun read(bytes: String) {
            channel.writeInbound(Unpooled.wrappedBuffer(bytes.encodeToByteArray()))
        }

        /** Reads a whole response and releases the connection. */
        fun exchange() = runBlocking {
            while (handler.next() != ResponsePart.End) Unit
            handler.release(idleMs = 1_000)
        }

        /** Closes the connection and returns the heads that it has received. */
        fun heads(): List<ResponsePart.Head> = runBlocking {
            channel.close()
            generateSequence { runBlocking { handler.next() } }
                .takeWhile { it !is ResponsePart.Lost }
                .filterIsInstance<ResponsePart.Head>()
                .toList()
        }
    }

    private companion object {
        const val ID = "Request-Id"
    }
}
