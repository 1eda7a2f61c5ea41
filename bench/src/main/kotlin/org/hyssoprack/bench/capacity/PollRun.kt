package org.hyssoprack.bench.capacity

/** What reading load reports costs. */
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
            val answers = (end.answerBytes - start.answerBytes) / ReportServer.ANSWER_BYTES
            return PollRun(
                reportsPerSecond = answers / seconds,
                cpuUsPerSecond = (end.cpuNanos - start.cpuNanos) / NANOS_PER_US / seconds,
                bytesPerSecond = (end.bytes - start.bytes) / seconds
            )
        }
    }
}
