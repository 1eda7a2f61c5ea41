package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Generation
import org.hyssoprack.common.HostId
import org.hyssoprack.common.PoolName

/**
 * A backend server as the scheduler sees it.
 *
 * @property owner host that lends its slots.
 * @property slots the server's own account of how many requests it can work on at once.
 * @property leaving true if it must get no new work.
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
