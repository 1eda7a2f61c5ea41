package org.hyssoprack.integration.deployment

import java.net.InetAddress
import java.net.ServerSocket

/** Hands out loopback addresses that nothing listens on. */
internal class PortPool {
    private val given = HashSet<Int>()

    /** An address in the form `ip:port` that was not given out before. */
    fun next(): String {
        while (true) {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            if (given.add(port)) return "127.0.0.1:$port"
        }
    }
}
