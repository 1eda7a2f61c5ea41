package org.hyssoprack.link.tcp

/** Totals of a link since its start. */
interface LinkMetrics {
    /** Bytes written, lengths and heartbeats included. */
    val bytesSent: Long

    /** Bytes read, lengths and heartbeats included. */
    val bytesReceived: Long

    /** Frames written, heartbeats included. */
    val framesSent: Long

    /** Frames read, heartbeats included. */
    val framesReceived: Long

    /** Messages dropped on their way out. */
    val dropped: Long

    /** Received messages dropped since the host did not take them. */
    val incomingDropped: Long

    /** Connections opened by this host. */
    val connects: Long

    /** Connections closed since nothing was heard. */
    val receiveTimeouts: Long

    /** Connections closed or refused for a bad frame or hello. */
    val refused: Long

    /** Connections open now. */
    val open: Int
}
