package org.hyssoprack.faultproxy

import kotlinx.serialization.Serializable

/**
 * What a listener has done so far.
 *
 * @property open connections that are open now.
 * @property accepted connections taken in since the start.
 * @property hits pieces of data dropped and connections cut or silenced by faults.
 */
@Serializable
data class ListenerState(
    val name: String,
    val faults: ListenerFaults,
    val open: Int,
    val accepted: Long,
    val hits: Long
)
