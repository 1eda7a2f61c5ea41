package org.hyssoprack.serving.settings

import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId

/**
 * Where requests of one host and path prefix go, and how they are treated.
 *
 * @property prefix beginning of the path; begins and ends with a slash.
 * @property timeoutMs longest time that a request is kept waiting for its end.
 * @property targetMs time to the answer, or a stream's first event, that counts as in time.
 * @property pauseMs longest pause between two events of a stream that counts as in time.
 * @property rank 0 is the most urgent.
 * @property maxAttempts number of servers that may run one request.
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
    /** How long callers wait for a stream's next event, the first included, before they leave. */
    val callerPatienceMs: Long
        get() = if (kind.isStream) {
            maxOf(PATIENCE_MS, PATIENCE_TARGETS * targetMs, PATIENCE_PAUSES * pauseMs)
        } else {
            timeoutMs
        }

    private val totalWeight = shares.sumOf { it.weight }

    /** The service for a request whose id hashes to [hash]; the same hash gives the same service. */
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
        // How callers are known to behave, whichever of the three is longest.
        const val PATIENCE_MS = 2_000L
        const val PATIENCE_TARGETS = 4
        const val PATIENCE_PAUSES = 8
    }
}
