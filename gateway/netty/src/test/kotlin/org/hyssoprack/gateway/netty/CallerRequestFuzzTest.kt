package org.hyssoprack.gateway.netty

import assertk.assertThat
import assertk.assertions.isEqualTo
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.hyssoprack.gateway.RequestHandler
import org.hyssoprack.serving.settings.CallerLimits

/** Sends valid and malformed requests in random fragments; only valid ones are served. */
class CallerRequestFuzzTest {
    private val served = CopyOnWriteArrayList<String>()
    private val record = RequestHandler { request, answer ->
        served += "${request.method} ${request.uri} ${request.body.decodeToString()}"
        answer.answer(200, DefaultHttpHeaders(), ByteArray(0))
    }
    private val limits = CallerLimits(headerTimeoutMs = PATIENT_MS, idleTimeoutMs = PATIENT_MS)
    private val address = LoopbackServer.start(record, limits)

    /** A request as text on the wire, and as the handler should receive it. */
    private class Sent(val wire: String, val served: String)

    @Property(seed = "20261204", tries = 400)
    fun `all requests before the first malformed one are served unchanged`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val random = Random(seed)
        val proper = List(random.nextInt(0, 5)) { randomRequest(it, random) }
        val isBroken = random.nextBoolean()
        val end = if (isBroken) BROKEN.random(random) else LAST
        served.clear()
        send(proper.joinToString("") { it.wire } + end, random)
        val expected = proper.map { it.served } + if (isBroken) emptyList() else listOf("GET /end ")
        assertThat(served.toList()).isEqualTo(expected)
    }

    @Example
    fun `requests pipelined ahead of a malformed one are all served`() {
        val proper = List(6) { Sent("GET /$it HTTP/1.1\r\nHost: h\r\n\r\n", "GET /$it ") }
        for (broken in BROKEN) {
            served.clear()
            sendAtOnce(proper.joinToString("") { it.wire } + broken)
            assertThat(served.toList(), broken).isEqualTo(proper.map { it.served })
        }
    }

    @Example
    fun `no part of a malformed request is served`() {
        for (broken in BROKEN) {
            served.clear()
            send(broken, Random(1))
            assertThat(served.toList(), broken).isEqualTo(emptyList())
        }
    }

    private fun randomRequest(number: Int, random: Random): Sent {
        val body = String(CharArray(random.nextInt(0, 400)) { 'a' + random.nextInt(26) })
        val isChunked = random.nextBoolean()
        val length = "Content-Length: ${body.length}"
        val framing = if (isChunked) "Transfer-Encoding: chunked" else length
        val wire = "POST /$number HTTP/1.1\r\nHost: h\r\n$framing\r\n\r\n" +
            if (isChunked) chunks(body, random) else body
        return Sent(wire, "POST /$number $body")
    }

    private fun chunks(body: String, random: Random): String {
        if (body.isEmpty()) return "0\r\n\r\n"
        val size = random.nextInt(1, body.length + 1)
        return body.chunked(size).joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } +
            "0\r\n\r\n"
    }

    private fun sendAtOnce(text: String) = Socket(address.ip, address.port).use { socket ->
        socket.soTimeout = TIMEOUT_MS
        write(socket, text)
        drain(socket)
    }

    /** Sends [text] in fragments and waits until the server has closed the connection. */
    private fun send(text: String, random: Random) {
        Socket(address.ip, address.port).use { socket ->
            socket.soTimeout = TIMEOUT_MS
            val pieces = text.chunked(random.nextInt(1, 300))
            pieces.forEach {
                if (!write(socket, it)) return
            }
            drain(socket)
        }
    }

    // Returns false if the server has already closed the connection after a malformed request.
    private fun write(socket: Socket, piece: String): Boolean = try {
        socket.getOutputStream().write(piece.toByteArray(Charsets.ISO_8859_1))
        true
    } catch (_: java.io.IOException) {
        false
    }

    private fun drain(socket: Socket) = try {
        socket.getInputStream().readAllBytes()
    } catch (_: java.net.SocketException) {
        ByteArray(0)
    }

    private companion object {
        // Timeout that keeps a failing test from hanging; not a limit of the system.
        const val TIMEOUT_MS = 30_000

        // The server closes a connection after the last or a malformed request, never by timeout.
        const val PATIENT_MS = 60_000L
        const val LAST = "GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        const val SECOND = "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
        const val START = "POST /first HTTP/1.1\r\nHost: h\r\n"

        /** A lenient parser would read each of these as two requests (request smuggling). */
        val BROKEN = listOf(
            START + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SECOND,
            START + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + SECOND,
            START + "Content-Length: 0, 5\r\n\r\n" + SECOND,
            START + "Content-Length: -1\r\n\r\n" + SECOND,
            START + "Content-Length: +0\r\n\r\n" + SECOND,
            START + "Content-Length : 0\r\n\r\n" + SECOND,
            START + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + SECOND,
            START + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + SECOND,
            START + "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + SECOND,
            START + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + SECOND,
            START +
                " Folded: a\r\nContent-Length: 0\r\nTransfer-Encoding:\tchunked\r\n\r\n0\r\n\r\n" +
                SECOND,
            "POST /first HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + SECOND,
            "POST  /first HTTP/1.1 x\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + SECOND,
            START + "Content-Length: 0\u0000\r\n\r\n" + SECOND
        )
    }
}
