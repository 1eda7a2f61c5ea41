package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.PoolName
import org.hyssoprack.policy.Pool

/** All backend servers and the policy of their pools. */
data class Fleet(val servers: Map<BackendServerId, FleetServer>, val pools: Map<PoolName, Pool>)
