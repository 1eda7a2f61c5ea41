package org.hyssoprack.bench.deployment

import java.net.InetAddress
import java.net.ServerSocket

/** Finds free TCP ports on loopback. */
internal object FreePorts {
    /** [count] addresses `127.0.0.1:port`, all different. */
    fun addresses(count: Int): List<String> {
        val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
        val addresses = sockets.map { "127.0.0.1:${it.localPort}" }
        sockets.forEach { it.close() }
        return addresses
    }
}
