package org.hyssoprack.bench.capacity

/** Total cost of several links per second, over one measurement interval. */
internal data class LinkRun(
    val pairs: Double,
    val bytesPerSecond: Double,
    val framesPerSecond: Double,
    val cpuUsPerSecond: Double,
    val heapBytes: Double
) {
    companion object {
        private const val NANOS_PER_US = 1_000.0
        private const val NANOS_PER_SECOND = 1e9

        fun between(start: LinkTotals, end: LinkTotals, hosts: Int, heapBytes: Long): LinkRun {
            val seconds = (end.atNanos - start.atNanos) / NANOS_PER_SECOND
            val pairs = hosts * (hosts - 1) / 2.0
            return LinkRun(
                pairs = pairs,
                bytesPerSecond = (end.bytes - start.bytes) / seconds,
                framesPerSecond = (end.frames - start.frames) / seconds,
                cpuUsPerSecond = (end.cpuNanos - start.cpuNanos) / NANOS_PER_US / seconds,
                heapBytes = heapBytes.toDouble()
            )
        }
    }
}
