package org.hyssoprack.bench.capacity

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import org.hyssoprack.common.NetworkAddress

/** Serves a small load report for every HTTP request and counts bytes and CPU time. */
internal class ReportServer : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val read = AtomicLong()
    private val written = AtomicLong()
    private val cpu = AtomicLong()

    /** Address that the server listens on. */
    val address = NetworkAddress("127.0.0.1", server.localPort)

    /** Bytes received in all requests. */
    val requestBytes: Long get() = read.get()

    /** Bytes sent in all responses. */
    val responseBytes: Long get() = written.get()

    /** CPU time of the server threads, in nanoseconds. */
    val cpuNanos: Long get() = cpu.get()

    init {
        thread(isDaemon = true) { accept() }
    }

    override fun close() = server.close()

    private fun accept() {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return
            thread(isDaemon = true) { runCatching { serve(socket) } }
        }
    }

    private fun serve(socket: Socket) = socket.use {
        val input = it.getInputStream().buffered()
        var lastNanos = Meter.threadCpuNanos()
        while (readHead(input)) {
            it.getOutputStream().write(RESPONSE)
            written.addAndGet(RESPONSE.size.toLong())
            val nowNanos = Meter.threadCpuNanos()
            cpu.addAndGet(nowNanos - lastNanos)
            lastNanos = nowNanos
        }
    }

    // Requests have no body, so the empty line after the headers ends a request.
    private fun readHead(input: InputStream): Boolean {
        var newlines = 0
        while (newlines < 2) {
            val byte = input.read()
            if (byte < 0) return false
            read.incrementAndGet()
            if (byte == NEWLINE) {
                newlines++
            } else if (byte != RETURN) {
                newlines = 0
            }
        }
        return true
    }

    companion object {
        private const val BACKLOG = 64
        private const val NEWLINE = '\n'.code
        private const val RETURN = '\r'.code
        private const val BODY = """{"running":12,"queued":3,"ageMs":500}"""
        private val RESPONSE = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                "Content-Length: ${BODY.length}\r\n\r\n$BODY"
            ).encodeToByteArray()

        /** Bytes of one response. */
        val RESPONSE_BYTES: Double = RESPONSE.size.toDouble()
    }
}
