package org.hyssoprack.gateway.netty

import assertk.assertThat
import assertk.assertions.isEqualTo
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.gateway.ResponsePart
import org.hyssoprack.gateway.netty.DropReason.AFTER_RESPONSE
import org.hyssoprack.gateway.netty.DropReason.IDLE

class DroppedResponseTest {
    private val dropped = ArrayList<DropReason>()

    @Example
    fun `responses that nobody reads are counted by reason`() {
        class Case(
            val name: String,
            val inUse: String,
            val idle: String,
            val counted: List<DropReason>
        )
        val cases = listOf(
            Case("its response only", WHOLE, "", emptyList()),
            Case("one more", WHOLE + WHOLE, "", listOf(AFTER_RESPONSE)),
            Case("two more", WHOLE + WHOLE + WHOLE, "", listOf(AFTER_RESPONSE, AFTER_RESPONSE)),
            Case("half of one more", WHOLE + WHOLE.dropLast(1), "", listOf(AFTER_RESPONSE)),
            Case("one while idle", WHOLE, WHOLE, listOf(IDLE)),
            Case("one in two reads", WHOLE + WHOLE.take(8), WHOLE.drop(8), listOf(IDLE)),
            Case("no response while idle", WHOLE, "bytes\r\n\r\n", listOf(IDLE)),
            Case("an interim response while idle", WHOLE, INTERIM, emptyList())
        )
        for (case in cases) {
            dropped.clear()
            val exchange = Exchange()
            exchange.read(case.inUse)
            exchange.end()
            exchange.read(case.idle)
            assertThat(dropped, case.name).isEqualTo(case.counted)
        }
    }

    @Example
    fun `a response on a connection that has been taken again is read`() {
        val exchange = Exchange()
        exchange.read(WHOLE)
        exchange.end()
        exchange.connection.take()
        exchange.read(WHOLE)
        assertThat(dropped).isEqualTo(emptyList())
        assertThat(runBlocking { exchange.connection.next() is ResponsePart.Head }).isEqualTo(true)
    }

    private inner class Exchange {
        val connection = NettyServerConnection(number = 1, dropped::add) { _, _ -> }
        private val channel = EmbeddedChannel(HttpResponseDecoder(), connection)

        init {
            connection.send(
                HttpMethod.GET,
                "/",
                DefaultHttpHeaders(),
                ByteArray(0),
                requestId = null
            )
        }

        fun read(bytes: String) {
            if (!channel.isOpen) return
            channel.writeInbound(Unpooled.wrappedBuffer(bytes.encodeToByteArray()))
        }

        /** Reads the response up to its end and releases the connection. */
        fun end() {
            runBlocking { while (connection.next() != ResponsePart.End) Unit }
            connection.release(IDLE_MS)
        }
    }

    private companion object {
        const val IDLE_MS = 30_000L
        const val WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        const val INTERIM = "HTTP/1.1 100 Continue\r\n\r\n"
    }
}
