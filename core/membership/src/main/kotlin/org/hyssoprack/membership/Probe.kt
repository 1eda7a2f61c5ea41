package org.hyssoprack.membership

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/**
 * A ping whose pong is awaited.
 *
 * @property origin host that asked for the ping; null if this host did.
 * @property originSequence sequence number by which the origin knows the probe.
 */
internal data class Probe(
    val sequence: Long,
    val target: HostRef,
    val startedMs: Long,
    val origin: HostId? = null,
    val originSequence: Long = 0,
    val indirect: Boolean = false
)
