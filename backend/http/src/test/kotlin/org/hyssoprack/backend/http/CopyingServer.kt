package org.hyssoprack.backend.http

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.Locale
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import org.hyssoprack.common.NetworkAddress

/**
 * A backend server on raw sockets that keeps its connections open and sends [replies] in turn. On a
 * connection that carries a further call, a copy of the reply to the call before it comes first.
 */
internal class CopyingServer(replies: List<String>) : AutoCloseable {
    private val left = ArrayDeque(replies)
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))

    /** Number of calls that each connection has carried. */
    val callsByConnection = ConcurrentHashMap<Socket, Int>()

    val server = EngineFixture.server(NetworkAddress(ip = LOOPBACK, port = listener.localPort))

    init {
        thread(isDaemon = true) {
            try {
                while (true) listener.accept().let { thread(isDaemon = true) { serve(it) } }
            } catch (_: IOException) {
                // The server was closed.
            }
        }
    }

    override fun close() = listener.close()

    private fun serve(socket: Socket) = socket.use {
        var latest: String? = null
        try {
            while (readCall(socket.getInputStream())) {
                callsByConnection.merge(socket, 1, Int::plus)
                latest?.let { socket.getOutputStream().write(it.encodeToByteArray()) }
                latest = synchronized(left) { left.removeFirst() }
                socket.getOutputStream().write(latest.encodeToByteArray())
            }
        } catch (_: IOException) {
            // The client closed the connection.
        }
    }

    /** Reads a call with its body; returns false at the end of [input]. */
    private fun readCall(input: InputStream): Boolean {
        val lines = generateSequence { lineOf(input) }.takeWhile { it.isNotEmpty() }.toList()
        val length = lines.map { it.lowercase(Locale.ROOT) }
            .firstOrNull { it.startsWith(LENGTH) }
            ?.removePrefix(LENGTH)
        length?.let { input.skipNBytes(it.trim().toLong()) }
        return lines.isNotEmpty()
    }

    private fun lineOf(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.append(byte.toChar())
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val BACKLOG = 50
        const val LENGTH = "content-length:"
    }
}
