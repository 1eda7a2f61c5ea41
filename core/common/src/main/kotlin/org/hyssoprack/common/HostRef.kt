package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** One run of one host. */
@Serializable
data class HostRef(val host: HostId, val incarnation: Incarnation) {
    override fun toString(): String = "$host~$incarnation"
}
