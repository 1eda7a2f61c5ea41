package org.hyssoprack.serving.placement

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain

/**
 * Requirements of a request at the time a server is chosen; times are in milliseconds from now.
 *
 * @property endLeftMs time until the complete response is due.
 * @property targetLeftMs time until the first event counts as late; 0 or negative if it is late.
 * @property patienceLeftMs time until the caller disconnects unless it receives a first event.
 * @property domain failure domain of the host that sends the request; null for this host's.
 * @property excludedServers servers that the host sending the request must not use.
 */
data class PlacementRequest(
    val work: WorkEstimate,
    val endLeftMs: Long,
    val targetLeftMs: Long = endLeftMs,
    val patienceLeftMs: Long = endLeftMs,
    val domain: FailureDomain? = null,
    val excludedServers: Set<BackendServerId> = emptySet()
)
