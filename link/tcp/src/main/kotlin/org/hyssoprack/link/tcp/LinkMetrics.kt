package org.hyssoprack.link.tcp

/** Counters of a link since its start. */
interface LinkMetrics {
    /** Bytes written, including length prefixes and heartbeats. */
    val bytesSent: Long

    /** Bytes read, including length prefixes and heartbeats. */
    val bytesReceived: Long

    /** Frames written, including heartbeats. */
    val framesSent: Long

    /** Frames read, including heartbeats. */
    val framesReceived: Long

    /** Outgoing messages dropped. */
    val dropped: Long

    /** Received messages dropped because the host did not consume them in time. */
    val incomingDropped: Long

    /** Connections opened by this host. */
    val connects: Long

    /** Connections closed because no byte was received within the timeout. */
    val receiveTimeouts: Long

    /** Connections closed or rejected because of an invalid frame or hello. */
    val refused: Long

    /** Connections open now. */
    val open: Int
}
