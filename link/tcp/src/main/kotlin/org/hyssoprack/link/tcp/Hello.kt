package org.hyssoprack.link.tcp

import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/**
 * First message on a connection; identifies the sender.
 *
 * @property version version of the wire format.
 * @property address where the sender accepts connections.
 */
@Serializable
internal data class Hello(val version: Int, val ref: HostRef, val address: NetworkAddress) {
    companion object {
        const val WIRE_VERSION = 1
    }
}
