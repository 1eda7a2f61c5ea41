package org.hyssoprack.faultproxy

import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Echoes each byte and counts the received bytes. */
internal class EchoServer : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val port: Int = server.localPort
    val received = AtomicInteger()

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) {
                    runCatching {
                        socket.use {
                            while (true) {
                                val byte = it.getInputStream().read()
                                if (byte < 0) break
                                received.incrementAndGet()
                                it.getOutputStream().write(byte)
                            }
                        }
                    }
                }
            }
        }
    }

    override fun close() = server.close()

    private companion object {
        const val BACKLOG = 50
    }
}
