package org.hyssoprack.link.tcp

/**
 * Timing and bounds of a [TcpLink].
 *
 * @property heartbeatMs time after which a connection without other traffic sends a heartbeat.
 * @property missedHeartbeatLimit number of heartbeat times without a byte after which it is replaced.
 * @property idleMs time without a message, either way, after which a connection is closed.
 * @property connectTimeoutMs bound of one attempt to connect and exchange hellos.
 * @property queueLength messages that wait for one peer; the oldest is dropped beyond that.
 * @property incomingLength received messages that wait for the host; the oldest is dropped.
 * @property heartbeatPauseAfterMs time without a message, either way, after which a connection sends no heartbeats
 *   and is not watched until it is used again; spares hosts that talk now and then both heartbeats
 *   and new connections.
 * @property maxFrameBytes largest frame that is sent or accepted.
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
    /** Time without a byte after which a connection counts as lost, in milliseconds. */
    val receiveTimeoutMs: Long get() = heartbeatMs * missedHeartbeatLimit
}
