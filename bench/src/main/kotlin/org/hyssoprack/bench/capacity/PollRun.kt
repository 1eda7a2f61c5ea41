package org.hyssoprack.bench.capacity

/** Cost of polling load reports per second, over one measurement interval. */
internal data class PollRun(
    val reportsPerSecond: Double,
    val cpuUsPerSecond: Double,
    val bytesPerSecond: Double
) {
    companion object {
        private const val NANOS_PER_US = 1_000.0
        private const val NANOS_PER_SECOND = 1e9

        fun between(start: PollTotals, end: PollTotals): PollRun {
            val seconds = (end.atNanos - start.atNanos) / NANOS_PER_SECOND
            val responses = (end.responseBytes - start.responseBytes) / ReportServer.RESPONSE_BYTES
            return PollRun(
                reportsPerSecond = responses / seconds,
                cpuUsPerSecond = (end.cpuNanos - start.cpuNanos) / NANOS_PER_US / seconds,
                bytesPerSecond = (end.bytes - start.bytes) / seconds
            )
        }
    }
}
