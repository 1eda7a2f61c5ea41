package org.hyssoprack.integration.deployment

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Allocates loopback addresses on which no process listens. */
internal class PortPool {
    private val allocated = HashSet<Int>()

    /** Returns a new address in the form `ip:port`, never the same one twice. */
    fun next(): String {
        val port = generateSequence { PORTS.random(Random.Default) }
            .first { it !in allocated && isFree(it) }
        allocated.add(port)
        return "127.0.0.1:$port"
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        // Below the system's ephemeral port range: an outgoing connection could otherwise take one
        // of these ports before the process under test listens on it. Other modules' tests, which
        // run at the same time, use 22,000 to 31,000.
        val PORTS = 12_000..21_999
    }
}
