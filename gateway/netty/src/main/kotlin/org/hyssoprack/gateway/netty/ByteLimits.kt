package org.hyssoprack.gateway.netty

/**
 * Limits on what a host holds for its callers and servers.
 *
 * @property maxHeldBytes heap that all connections together may hold.
 * @property maxConnections callers' connections that may be open.
 * @property maxHeaderLines header lines of one request.
 * @property maxTrailerLines trailer lines of one request; trailers are dropped.
 */
data class ByteLimits(
    val maxHeldBytes: Long = heapShare(Runtime.getRuntime().maxMemory()),
    val maxConnections: Int = Int.MAX_VALUE,
    val maxHeaderLines: Int = 1_024,
    val maxTrailerLines: Int = 64
) {
    companion object {
        // Estimate of what the program itself needs of the heap; not measured.
        private const val OWN_BYTES = 20L * 1_048_576
        private const val MIN_BYTES = 2L * 1_048_576

        // The rest is for connections to servers and hosts, files and responses to refused callers.
        private const val DESCRIPTOR_PERCENT = 70
        private const val PERCENT = 100

        // Connections alone may take half of what may be held, with 4 KiB each.
        private const val BYTES_PER_CONNECTION = 8_192

        /**
         * Default of [maxHeldBytes] for a heap of [maxHeapBytes]. Half of what the program leaves:
         * growing a body copies it, and the collector has to find room for it in one piece.
         */
        fun heapShare(maxHeapBytes: Long): Long =
            ((maxHeapBytes - OWN_BYTES) / 2).coerceAtLeast(MIN_BYTES)

        /** Most connections of callers for a host with [descriptors] that may hold [heldBytes]. */
        fun connectionsFor(descriptors: Int, heldBytes: Long): Int = minOf(
            descriptors.toLong() * DESCRIPTOR_PERCENT / PERCENT,
            heldBytes / BYTES_PER_CONNECTION
        )
            .toInt()
    }
}
