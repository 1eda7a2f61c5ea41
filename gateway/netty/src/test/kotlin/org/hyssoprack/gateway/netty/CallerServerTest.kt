package org.hyssoprack.gateway.netty

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isTrue
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import net.jqwik.api.Example
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.RequestHandler
import org.hyssoprack.serving.settings.CallerLimits

class CallerServerTest {
    private val served = CopyOnWriteArrayList<CallerRequest>()
    private val left = CompletableDeferred<Unit>()
    private val echo = RequestHandler { request, answer ->
        served += request
        if (request.uri == "/wait") waitForEnd()
        answer.answer(200, DefaultHttpHeaders(), request.body)
    }
    private val limits = CallerLimits(
        maxHeaderBytes = 16_384,
        maxBodyBytes = 100_000,
        headerTimeoutMs = 300,
        idleTimeoutMs = 600
    )
    private val address = LoopbackServer.start(echo, limits)

    private suspend fun waitForEnd(): Nothing = try {
        awaitCancellation()
    } finally {
        left.complete(Unit)
    }

    @Example
    fun `malformed or too large requests are refused and the connection is closed`() {
        class Case(val name: String, val sent: String, val status: Int, val served: Int)
        val long = "x".repeat(12_000)
        val tooLong = "x".repeat(17_000)
        val cases = listOf(
            Case("a valid request", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 200, 1),
            Case("a long header", "GET / HTTP/1.1\r\nHost: h\r\nP: $long\r\n\r\n", 200, 1),
            Case(
                "a header that exceeds the limit",
                "GET / HTTP/1.1\r\nHost: h\r\nP: $tooLong\r\n\r\n",
                431,
                0
            ),
            Case(
                "many headers that together exceed the limit",
                "GET / HTTP/1.1\r\nHost: h\r\n" + "a: b\r\n".repeat(5_000) + "\r\n",
                431,
                0
            ),
            Case(
                "more header lines than are allowed",
                "GET / HTTP/1.1\r\nHost: h\r\n" + "a: b\r\n".repeat(1_024) + "\r\n",
                431,
                0
            ),
            Case(
                "more trailer lines than are allowed",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    "0\r\n" + "a: b\r\n".repeat(65) + "\r\n",
                431,
                0
            ),
            Case(
                "a request smuggled in a chunked body",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n" +
                    "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
                400,
                0
            ),
            Case(
                "two Content-Length headers",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
                400,
                0
            ),
            Case(
                "a body that exceeds the limit",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n",
                413,
                0
            ),
            Case("missing Host header", "GET / HTTP/1.1\r\n\r\n", 400, 0),
            Case("two Host headers", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, 0),
            Case("a malformed request line", "garbage\r\n\r\n", 400, 0),
            Case("control characters without a complete head", "\u0001\u0002\r\n", 408, 0),
            Case(
                "an invalid chunk size",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
                400,
                0
            ),
            Case("an incomplete head", "GET / HTTP/1.1\r\nHost: h\r\n", 408, 0)
        )
        for (case in cases) {
            served.clear()
            assertThat(statusOf(case.sent), case.name).isEqualTo(case.status)
            assertThat(served.size, case.name).isEqualTo(case.served)
        }
    }

    @Example
    fun `bodies come with a length or in chunks`() {
        val chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        val sized = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde"
        for (sent in listOf(chunked, sized)) {
            served.clear()
            assertThat(statusOf(sent)).isEqualTo(200)
            assertThat(served.single().body.decodeToString()).isEqualTo("abcde")
        }
    }

    @Example
    fun `a connection carries many requests and is closed when idle for too long`() {
        Socket(address.ip, address.port).use { socket ->
            val reader = socket.getInputStream().bufferedReader()
            repeat(3) {
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
                assertThat(reader.readLine()).isEqualTo("HTTP/1.1 200 OK")
                while (reader.readLine().isNotEmpty()) Unit
            }
            assertThat(reader.read()).isEqualTo(END)
        }
    }

    @Example
    fun `a request ends when its caller closes the connection`() {
        Socket(address.ip, address.port).use {
            it.getOutputStream().write("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            while (served.isEmpty()) Thread.sleep(1)
        }
        val isCancelled = runBlocking { withTimeoutOrNull(TIMEOUT_MS) { left.await() } != null }
        assertThat(isCancelled).isTrue()
    }

    private fun statusOf(sent: String): Int = Socket(address.ip, address.port).use { socket ->
        socket.getOutputStream().write(sent.toByteArray(Charsets.ISO_8859_1))
        socket.getInputStream().bufferedReader().readLine().split(' ')[1].toInt()
    }

    private companion object {
        const val END = -1

        // Timeout that keeps a failing test from hanging; not a limit of the system.
        const val TIMEOUT_MS = 30_000L
    }
}
