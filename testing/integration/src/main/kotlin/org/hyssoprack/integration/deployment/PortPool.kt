package org.hyssoprack.integration.deployment

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Hands out loopback addresses that nothing listens on. */
internal class PortPool {
    private val given = HashSet<Int>()

    /** An address in the form `ip:port` that was not given out before. */
    fun next(): String {
        val port = generateSequence { PORTS.random(Random.Default) }
            .first { it !in given && isFree(it) }
        given.add(port)
        return "127.0.0.1:$port"
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        // Below the ports that the system gives to outgoing connections, which could take one of
        // these before the process under test listens on it.
        val PORTS = 12_000..31_000
    }
}
