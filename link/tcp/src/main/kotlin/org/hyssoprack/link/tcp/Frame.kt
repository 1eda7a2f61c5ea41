package org.hyssoprack.link.tcp

import org.hyssoprack.common.HostMessage

/** Unit of transmission on a connection. */
internal sealed interface Frame {
    /** First frame sent by each side. */
    data class Handshake(val hello: Hello) : Frame

    /** Shows that the sender is alive and the network path from it works. */
    data object Heartbeat : Frame

    /** Carries one message. */
    data class Payload(val message: HostMessage) : Frame
}
