package org.hyssoprack.bench.capacity

/** Snapshot of the poll counters; the CPU time excludes the threads of the report server. */
internal data class PollTotals(
    val atNanos: Long,
    val cpuNanos: Long,
    val bytes: Long,
    val responseBytes: Long
) {
    companion object {
        fun of(server: ReportServer): PollTotals = PollTotals(
            atNanos = System.nanoTime(),
            cpuNanos = Meter.processCpuNanos() - server.cpuNanos,
            bytes = server.requestBytes + server.responseBytes,
            responseBytes = server.responseBytes
        )
    }
}
