package org.hyssoprack.gateway.netty

import arrow.core.getOrElse
import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import assertk.assertions.isNotSameInstanceAs
import assertk.assertions.isSameInstanceAs
import assertk.assertions.isTrue
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import net.jqwik.api.Example
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.RequestHandler
import org.hyssoprack.gateway.ResponsePart
import org.hyssoprack.gateway.ResponseWriter
import org.hyssoprack.gateway.ServerConnection
import org.hyssoprack.serving.settings.CallerLimits

class NettyServerConnectionsTest {
    private val loop = HostEventLoop()
    private val connections = NettyServerConnections(loop)
    private val address = LoopbackServer.start(
        object : RequestHandler {
            override suspend fun handle(request: CallerRequest, answer: ResponseWriter) =
                answer.answer(200, DefaultHttpHeaders(), ByteArray(0))
        },
        CallerLimits()
    )

    @Example
    fun `a request gets the most recently used connection that has not carried its id`() =
        runBlocking {
            withContext(loop.dispatcher) {
                val (first, second) = List(2) { open() }
                exchange(first, "a")
                exchange(second, "b")
                first.release(IDLE_MS)
                second.release(IDLE_MS)
                assertThat(open("b")).isSameInstanceAs(first)
                val new = open("b")
                assertThat(new !== first && new !== second).isTrue()
                assertThat(open("c")).isSameInstanceAs(second)
            }
        }

    @Example
    fun `an id is not forgotten for as long as its connection is used`() = runBlocking {
        withContext(loop.dispatcher) {
            val connection = open()
            var carried = 0
            while (true) {
                exchange(connection, "id${carried++}")
                connection.release(IDLE_MS)
                if (open("another") !== connection) break
            }
            assertThat(carried).isGreaterThan(MANY)
            val next = open()
            repeat(MANY) {
                exchange(next, "id$it")
                next.release(IDLE_MS)
                assertThat(open("id0"), "after $it others").isNotSameInstanceAs(next)
                assertThat(open("another"), "after $it others").isSameInstanceAs(next)
            }
        }
    }

    @Example
    fun `connections are numbered, and count their exchanges`() = runBlocking {
        withContext(loop.dispatcher) {
            val (first, second) = List(2) { open() }
            assertThat(listOf(first.number, second.number)).isEqualTo(listOf(1L, 2L))
            assertThat(first.exchangeCount).isEqualTo(0)
            exchange(first, "a")
            assertThat(first.exchangeCount).isEqualTo(1)
            first.release(IDLE_MS)
            val again = open("b")
            exchange(again, "b")
            assertThat(again.number).isEqualTo(1L)
            assertThat(again.exchangeCount).isEqualTo(2)
            assertThat(second.exchangeCount).isEqualTo(0)
        }
    }

    private suspend fun open(requestId: String? = null) =
        connections.open(address, CONNECT_MS, requestId).getOrElse { error("$it") }

    private suspend fun exchange(connection: ServerConnection, requestId: String) {
        val headers = DefaultHttpHeaders().set("Host", "h")
        connection.send(HttpMethod.GET, "/", headers, ByteArray(0), requestId)
        while (connection.next() != ResponsePart.End) Unit
    }

    private companion object {
        const val CONNECT_MS = 5_000
        const val IDLE_MS = 30_000L
        const val MANY = 100
    }
}
