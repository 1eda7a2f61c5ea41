package org.hyssoprack.faultproxy

import kotlinx.serialization.Serializable

/**
 * Faults, open connections and counters of one listener.
 *
 * @property open number of connections that are open now.
 * @property accepted number of connections accepted since the start.
 * @property hits number of chunks dropped and of connections cut or silenced by faults.
 */
@Serializable
data class ListenerState(
    val name: String,
    val faults: ListenerFaults,
    val open: Int,
    val accepted: Long,
    val hits: Long
)
