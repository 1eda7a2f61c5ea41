package org.hyssoprack.standins.hostlist

import org.hyssoprack.store.BackendServer

/** An update of the host list that becomes visible at [visibleAtMs]. */
internal data class PendingUpdate(val visibleAtMs: Long, val servers: List<BackendServer>)
