package org.hyssoprack.standins.hostlist

import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock
import org.hyssoprack.store.BackendServer

/** A list of backend servers whose changes become visible [lagMs] after they were made. */
internal class LaggingList(
    private val lagMs: Long,
    first: List<BackendServer>,
    private val clock: Clock = SystemClock
) {
    private var visible = first
    private val pending = ArrayDeque<PendingUpdate>()

    /** Replaces the list; the change becomes visible after [lagMs]. */
    @Synchronized
    fun set(servers: List<BackendServer>) {
        pending.addLast(PendingUpdate(visibleAtMs = clock.nowMs() + lagMs, servers = servers))
    }

    /** Returns the list as it was [lagMs] ago. */
    @Synchronized
    fun read(): List<BackendServer> {
        val now = clock.nowMs()
        while (pending.isNotEmpty() && pending.first().visibleAtMs <= now) {
            visible = pending.removeFirst().servers
        }
        return visible
    }
}
