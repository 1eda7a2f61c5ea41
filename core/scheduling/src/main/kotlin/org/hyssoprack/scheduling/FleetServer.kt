package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Generation
import org.hyssoprack.common.HostId
import org.hyssoprack.common.PoolName

/**
 * The properties of a backend server that scheduling depends on.
 *
 * @property owner host that lends its slots.
 * @property slots number of requests that the server can run at once, as it reports.
 * @property leaving whether the server must get no new requests.
 */
data class FleetServer(
    val id: BackendServerId,
    val pool: PoolName,
    val domain: FailureDomain,
    val generation: Generation,
    val owner: HostId,
    val slots: Int,
    val canSuspend: Boolean,
    val leaving: Boolean = false
)
