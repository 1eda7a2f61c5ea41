package org.hyssoprack.bench.capacity

/** Totals of load reports at one moment; processor time without that of the server's threads. */
internal data class PollTotals(
    val atNanos: Long,
    val cpuNanos: Long,
    val bytes: Long,
    val answerBytes: Long
) {
    companion object {
        fun of(server: ReportServer): PollTotals = PollTotals(
            atNanos = System.nanoTime(),
            cpuNanos = Meter.processCpuNanos() - server.cpuNanos,
            bytes = server.requestBytes + server.answerBytes,
            answerBytes = server.answerBytes
        )
    }
}
