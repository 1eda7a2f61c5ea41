package org.hyssoprack.gateway.netty

import arrow.core.getOrElse
import assertk.assertThat
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
    fun `a request gets the most recently used connection that it has not used`() = runBlocking {
        withContext(loop.dispatcher) {
            val (first, second) = List(2) { open() }.onEach { exchange(it) }
            first.release(IDLE_MS)
            second.release(IDLE_MS)
            assertThat(open(except = setOf(second))).isSameInstanceAs(first)
            val new = open(except = setOf(second))
            assertThat(new !== first && new !== second).isTrue()
            assertThat(open()).isSameInstanceAs(second)
        }
    }

    private suspend fun open(except: Set<ServerConnection> = emptySet()) =
        connections.open(address, CONNECT_MS, except).getOrElse { error("$it") }

    private suspend fun exchange(connection: ServerConnection) {
        val headers = DefaultHttpHeaders().set("Host", "h")
        connection.send(HttpMethod.GET, "/", headers, ByteArray(0))
        while (connection.next() != ResponsePart.End) Unit
    }

    private companion object {
        const val CONNECT_MS = 5_000
        const val IDLE_MS = 30_000L
    }
}
