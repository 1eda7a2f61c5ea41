package org.hyssoprack.link.tcp

/**
 * Timeouts and limits of a [TcpLink].
 *
 * @property heartbeatMs time without an outgoing message after which a heartbeat is sent.
 * @property missedHeartbeatLimit number of heartbeat intervals without a received byte after
 *   which a connection is closed; the next message opens a new one.
 * @property idleMs time without a message in either direction after which a connection is closed.
 * @property connectTimeoutMs timeout of one attempt to connect, including the handshake.
 * @property queueLength outgoing messages queued per peer; on overflow the oldest is dropped.
 * @property incomingLength received messages queued; on overflow the oldest is dropped.
 * @property heartbeatPauseAfterMs time without a message in either direction after which a
 *   connection pauses heartbeats and the receive timeout until the next message; saves hosts that
 *   exchange few messages both heartbeats and reconnects.
 * @property maxFrameBytes maximum size of a frame that is sent or accepted.
 */
data class LinkSettings(
    val heartbeatMs: Long = 500,
    val missedHeartbeatLimit: Int = 3,
    val idleMs: Long = 3_000,
    val connectTimeoutMs: Long = 1_000,
    val queueLength: Int = 1_024,
    val incomingLength: Int = 8_192,
    val heartbeatPauseAfterMs: Long = idleMs,
    val maxFrameBytes: Int = 8 * 1_024 * 1_024
) {
    /** Time without a received byte after which a connection counts as lost, in milliseconds. */
    val receiveTimeoutMs: Long get() = heartbeatMs * missedHeartbeatLimit
}
