package org.hyssoprack.bench.deployment

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Allocates free TCP ports on a loopback address that is specific to this process, below the
 * ephemeral port range of the system.
 */
internal object FreePorts {
    private const val FIRST_PORT = 12_000
    private const val LAST_PORT = 32_000
    private const val OCTET_VALUES = 250
    private val pid = ProcessHandle.current().pid()
    private val ip =
        "127.${1 + pid / OCTET_VALUES % OCTET_VALUES}.${1 + pid % OCTET_VALUES}.1"
    private val next = AtomicInteger(FIRST_PORT)

    /** Returns [count] different addresses in the form `ip:port`. */
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
