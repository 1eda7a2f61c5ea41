package org.hyssoprack.bench.deployment

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Finds free TCP ports on a loopback address of this process's own, below the range from which the
 * system takes ports of outgoing connections.
 */
internal object FreePorts {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000
    private const val OCTET_VALUES = 250
    private val pid = ProcessHandle.current().pid()
    private val ip =
        "127.${1 + pid / OCTET_VALUES % OCTET_VALUES}.${1 + pid % OCTET_VALUES}.1"
    private val next = AtomicInteger(FIRST_PORT)

    /** [count] addresses `ip:port`, all different. */
    fun addresses(count: Int): List<String> = generateSequence { next.getAndIncrement() }
        .takeWhile { it <= LAST_PORT }
        .filter(::isFree)
        .take(count)
        .map { "$ip:$it" }
        .toList()

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getByName(ip)).close()
        true
    } catch (_: IOException) {
        false
    }
}
