package org.hyssoprack.standins.hostlist

import org.hyssoprack.store.BackendServer

/** A change of the host list that readers see from [visibleMs] on. */
internal data class ListChange(val visibleMs: Long, val servers: List<BackendServer>)
