package org.hyssoprack.settings

/**
 * Evidence that the bundle in force is still the accepted one. All times are start times of
 * requests on this host's monotonic clock, so that a response that arrives after a pause of the
 * process has the age of its request.
 *
 * @property confirmedAtMs start of the latest read of the table service that returned no newer
 *   version.
 * @property peersConfirmedAtMs start of the latest poll round in which at least half of the polled
 *   peers confirmed that there is no newer version.
 * @property isNewerKnown whether a newer version has been seen, which invalidates confirmations by
 *   peers.
 */
internal data class BundleFreshness(
    val confirmedAtMs: Long? = null,
    val peersConfirmedAtMs: Long? = null,
    val isNewerKnown: Boolean = false
) {
    fun isCurrent(nowMs: Long): Boolean = isConfirmed(nowMs) || isConfirmedByPeers(nowMs)

    fun isConfirmed(nowMs: Long): Boolean = isFresh(confirmedAtMs, nowMs, STORE_CONFIRMATION_TTL_MS)

    private fun isConfirmedByPeers(nowMs: Long): Boolean =
        !isNewerKnown && isFresh(peersConfirmedAtMs, nowMs, PEER_CONFIRMATION_TTL_MS)

    fun confirmed(atMs: Long): BundleFreshness =
        copy(confirmedAtMs = maxOf(atMs, confirmedAtMs ?: atMs))

    fun confirmedByPeers(atMs: Long): BundleFreshness = copy(
        peersConfirmedAtMs = maxOf(
            atMs,
            peersConfirmedAtMs ?: atMs
        )
    )

    companion object {
        /** Below the limit of 4 s within which an accepted bundle must be in force on all hosts. */
        const val STORE_CONFIRMATION_TTL_MS = 3_500L
        const val PEER_CONFIRMATION_TTL_MS = 2_000L

        fun isFresh(atMs: Long?, nowMs: Long, maxAgeMs: Long): Boolean =
            atMs != null && nowMs - atMs <= maxAgeMs
    }
}
