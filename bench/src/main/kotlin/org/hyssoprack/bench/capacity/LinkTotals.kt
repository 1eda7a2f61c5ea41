package org.hyssoprack.bench.capacity

import org.hyssoprack.link.tcp.TcpLink

/** Snapshot of the summed counters of several links. */
internal data class LinkTotals(
    val atNanos: Long,
    val cpuNanos: Long,
    val bytes: Long,
    val frames: Long
) {
    companion object {
        fun of(links: List<TcpLink>): LinkTotals = LinkTotals(
            atNanos = System.nanoTime(),
            cpuNanos = Meter.processCpuNanos(),
            bytes = links.sumOf { it.metrics.bytesSent },
            frames = links.sumOf { it.metrics.framesSent }
        )
    }
}
