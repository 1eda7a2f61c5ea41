package org.hyssoprack.link.tcp

import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/**
 * First message on a connection; identifies the sender.
 *
 * @property version version of the wire format.
 * @property address where the sender accepts connections.
 * @property revision newest messages that the sender can decode; see [HostMessage.sinceRevision].
 */
@Serializable
internal data class Hello(
    val version: Int,
    val ref: HostRef,
    val address: NetworkAddress,
    val revision: Int = 0
) {
    companion object {
        const val WIRE_VERSION = 1

        /** Revision of this build. */
        const val REVISION = 1
    }
}
