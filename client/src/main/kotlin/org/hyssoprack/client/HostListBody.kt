package org.hyssoprack.client

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress

/** Response body of `GET /v1/hosts`. */
@Serializable
internal data class HostListBody(
    @SerialName("ttl_ms") val ttlMs: Long,
    val hosts: List<HostEntry>
) {
    @Serializable
    data class HostEntry(val host: String, val incarnation: String, val address: String) {
        /** Returns the host, or null if the incarnation or address cannot be parsed. */
        fun toHost(): EntryHost? {
            val run = Incarnation.parse(incarnation) ?: return null
            val address = NetworkAddress.parse(address) ?: return null
            return EntryHost(ref = HostRef(HostId(host), run), address = address)
        }
    }
}
