package org.hyssoprack.serving.placement

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain

/**
 * What a request asks of a server at one moment; times in milliseconds from now.
 *
 * @property endLeftMs time until the whole answer must be there.
 * @property targetLeftMs time until the first event counts as late; not above 0 if it is late.
 * @property patienceLeftMs time until the caller leaves if there is no first event.
 * @property domain failure domain of the host that sends the request; null for this host's.
 * @property excludedServers servers to which the host that sends the request must send nothing.
 */
data class PlacementRequest(
    val work: WorkEstimate,
    val endLeftMs: Long,
    val targetLeftMs: Long = endLeftMs,
    val patienceLeftMs: Long = endLeftMs,
    val domain: FailureDomain? = null,
    val excludedServers: Set<BackendServerId> = emptySet()
)
