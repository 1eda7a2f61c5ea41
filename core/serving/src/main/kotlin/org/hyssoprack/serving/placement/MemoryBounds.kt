package org.hyssoprack.serving.placement

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog

/** The [MemoryBound]s by server, which outlive the crashed instance of a server. */
class MemoryBounds(private val clock: Clock, private val log: EventLog) {
    private val bounds = HashMap<BackendServerId, MemoryBound>()

    /** Number of servers whose bound a crash has lowered. */
    val loweredCount: Int get() = bounds.values.count { it.isLowered }

    /** Returns the bound of the server [id]. */
    operator fun get(id: BackendServerId): MemoryBound =
        bounds.getOrPut(id) { MemoryBound(id, clock, log) }

    /** Forgets the servers beside [registered] whose bounds no crash has lowered. */
    fun forgetOthers(registered: Set<BackendServerId>) =
        bounds.entries.removeIf { it.key !in registered && !it.value.isLowered }
}
