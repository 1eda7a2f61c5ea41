package org.hyssoprack.link.tcp

import org.hyssoprack.common.HostMessage

/** What is sent over one connection. */
internal sealed interface Frame {
    /** First frame of each side. */
    data class Handshake(val hello: Hello) : Frame

    /** Shows that the sender and the path from it are alive. */
    data object Heartbeat : Frame

    /** Carries a message of the host. */
    data class Payload(val message: HostMessage) : Frame
}
