package org.hyssoprack.gateway.netty

import arrow.core.getOrElse
import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.io.ByteArrayOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.gateway.ResponsePart

/** Guards against treating a truncated response of a backend server as complete. */
class ServerAnswerFuzzTest {
    private val loop = HostEventLoop()
    private val connections = NettyServerConnections(loop)

    private enum class Framing { LENGTH, CHUNKS, NONE }

    private enum class Ending { STAYS_OPEN, CLOSED, RESET }

    /** A response of the server, cut after [sent] bytes, and how its connection ends. */
    private class Answer(
        val body: ByteArray,
        val framing: Framing,
        val wire: ByteArray,
        val sent: Int,
        val ending: Ending
    ) {
        val isCut: Boolean get() = sent < wire.size
    }

    private class Read(val isWhole: Boolean, val body: ByteArray)

    @Property(seed = "20261204", tries = 300)
    fun `a truncated response is never reported as complete`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val random = Random(seed)
        val answer = randomAnswer(random)
        val read = exchange(answer, random)
        if (mayLookWhole(answer)) {
            if (read.isWhole) assertThat(read.body.decodeToString()).isEqualTo(bodySent(answer))
        } else {
            assertThat(read.isWhole).isFalse()
        }
    }

    @Example
    fun `a response without length is complete if closed, and incomplete if reset`() {
        class Case(val ending: Ending, val isWhole: Boolean)
        for (case in listOf(Case(Ending.CLOSED, true), Case(Ending.RESET, false))) {
            val body = "abc".toByteArray()
            val wire = wire(body, Framing.NONE, Random(1))
            val answer = Answer(body, Framing.NONE, wire, wire.size, case.ending)
            assertThat(exchange(answer, Random(1)).isWhole, "$case").isEqualTo(case.isWhole)
        }
    }

    private fun mayLookWhole(answer: Answer): Boolean = when (answer.framing) {
        Framing.NONE -> answer.ending == Ending.CLOSED && hasHead(answer)
        else -> !answer.isCut
    }

    private fun hasHead(answer: Answer) = answer.sent >= answer.wire.size - answer.body.size

    private fun bodySent(answer: Answer): String {
        val missing = if (answer.framing == Framing.NONE) answer.wire.size - answer.sent else 0
        return answer.body.decodeToString().dropLast(missing)
    }

    private fun randomAnswer(random: Random): Answer {
        val body = String(CharArray(random.nextInt(0, 3_000)) { 'a' + random.nextInt(26) })
            .toByteArray()
        val framing = Framing.entries.random(random)
        val wire = wire(body, framing, random)
        val sent = if (random.nextInt(3) == 0) wire.size else random.nextInt(wire.size)
        val endings = if (sent == wire.size && framing != Framing.NONE) {
            Ending.entries
        } else {
            listOf(Ending.CLOSED, Ending.RESET)
        }
        return Answer(body, framing, wire, sent, endings.random(random))
    }

    private fun wire(body: ByteArray, framing: Framing, random: Random): ByteArray {
        val out = ByteArrayOutputStream()
        fun line(text: String) = out.write("$text\r\n".toByteArray())
        line("HTTP/1.1 200 OK")
        when (framing) {
            Framing.LENGTH -> line("Content-Length: ${body.size}")
            Framing.CHUNKS -> line("Transfer-Encoding: chunked")
            Framing.NONE -> line("Connection: close")
        }
        line("")
        if (framing == Framing.CHUNKS) writeChunks(body, random, out) else out.write(body)
        return out.toByteArray()
    }

    private fun writeChunks(body: ByteArray, random: Random, out: ByteArrayOutputStream) {
        var at = 0
        while (at < body.size) {
            val size = random.nextInt(1, body.size - at + 1)
            out.write("${size.toString(16)}\r\n".toByteArray())
            out.write(body, at, size)
            out.write("\r\n".toByteArray())
            at += size
        }
        out.write("0\r\n\r\n".toByteArray())
    }

    private fun exchange(answer: Answer, random: Random): Read =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val pieces = random.nextInt(1, 5)
            thread(isDaemon = true) { server.accept().use { serve(it, answer, pieces) } }
            runBlocking {
                withContext(loop.dispatcher) { read(NetworkAddress("127.0.0.1", server.localPort)) }
            }
        }

    private fun serve(socket: Socket, answer: Answer, pieces: Int) {
        val input = socket.getInputStream().bufferedReader()
        while (input.readLine().isNotEmpty()) Unit
        val out = socket.getOutputStream()
        answer.wire.take(answer.sent).chunked(answer.sent / pieces + 1).forEach {
            out.write(it.toByteArray())
            out.flush()
        }
        if (answer.ending == Ending.RESET) socket.setSoLinger(true, 0)
        if (answer.ending == Ending.STAYS_OPEN) input.read()
    }

    private suspend fun read(address: NetworkAddress): Read = withTimeout(TIMEOUT_MS) {
        val connection = connections.open(address, CONNECT_MS, requestId = null).getOrElse {
            error("$it")
        }
        val headers = DefaultHttpHeaders().set("Host", "h")
        connection.send(HttpMethod.GET, "/", headers, ByteArray(0), requestId = null)
        val body = ByteArrayOutputStream()
        var isWhole: Boolean? = null
        while (isWhole == null) {
            when (val part = connection.next()) {
                is ResponsePart.Head -> Unit
                is ResponsePart.Body -> body.write(part.bytes)
                is ResponsePart.Lost -> isWhole = false
                ResponsePart.End -> isWhole = true
            }
        }
        connection.close()
        Read(isWhole, body.toByteArray())
    }

    private companion object {
        const val CONNECT_MS = 5_000

        // Timeout that keeps a failing test from hanging; not a limit of the system.
        const val TIMEOUT_MS = 30_000L
    }
}
