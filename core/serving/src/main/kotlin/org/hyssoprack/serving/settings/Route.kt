package org.hyssoprack.serving.settings

import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId

/**
 * Routing of the requests with one HTTP host name and path prefix, and their limits.
 *
 * @property prefix prefix of the path; begins and ends with a slash.
 * @property timeoutMs maximum time from the arrival of a request to its end.
 * @property targetMs time to the response, or to a stream's first event, that counts as on time.
 * @property pauseMs longest pause between two events of a stream that counts as on time.
 * @property rank 0 is the most urgent.
 * @property maxAttempts maximum number of servers that may run one request.
 * @property needsKey whether a request must carry the key of a client account.
 */
data class Route(
    val name: RouteName,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val shares: List<ServiceShare>,
    val timeoutMs: Long,
    val targetMs: Long,
    val pauseMs: Long = 0,
    val rank: Int = 0,
    val maxAttempts: Int = 1,
    val needsKey: Boolean = true
) {
    /**
     * Time for which callers wait for a stream's next event, the first included, before they
     * disconnect.
     */
    val callerPatienceMs: Long
        get() = if (kind.isStream) {
            maxOf(PATIENCE_MS, PATIENCE_TARGETS * targetMs, PATIENCE_PAUSES * pauseMs)
        } else {
            timeoutMs
        }

    private val totalWeight = shares.sumOf { it.weight }

    /**
     * Returns the service for a request whose id hashes to [hash]; the same hash gives the same
     * service.
     */
    fun serviceFor(hash: Int): ServiceId {
        if (shares.size == 1 || totalWeight <= 0) return shares.first().service
        var left = Math.floorMod(hash, totalWeight)
        for (share in shares) {
            left -= share.weight
            if (left < 0) return share.service
        }
        return shares.last().service
    }

    private companion object {
        // Callers are known to wait for the longest of these three times.
        const val PATIENCE_MS = 2_000L
        const val PATIENCE_TARGETS = 4
        const val PATIENCE_PAUSES = 8
    }
}
