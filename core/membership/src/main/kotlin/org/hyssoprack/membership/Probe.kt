package org.hyssoprack.membership

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/**
 * A pending ping.
 *
 * @property origin host that requested an indirect ping; null for a probe of this host.
 * @property originSequence sequence number of the probe at the origin.
 */
internal data class Probe(
    val sequence: Long,
    val target: HostRef,
    val startedMs: Long,
    val origin: HostId? = null,
    val originSequence: Long = 0,
    val indirect: Boolean = false
)
