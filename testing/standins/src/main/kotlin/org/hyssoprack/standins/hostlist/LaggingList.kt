package org.hyssoprack.standins.hostlist

import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock
import org.hyssoprack.store.BackendServer

/** A list of backend servers whose changes are seen only [lagMs] after they were made. */
internal class LaggingList(
    private val lagMs: Long,
    first: List<BackendServer>,
    private val clock: Clock = SystemClock
) {
    private var seen = first
    private val pending = ArrayDeque<ListChange>()

    /** Replaces the list; readers see it after the lag. */
    @Synchronized
    fun set(servers: List<BackendServer>) {
        pending.addLast(ListChange(visibleMs = clock.nowMs() + lagMs, servers = servers))
    }

    /** The list as it was [lagMs] ago. */
    @Synchronized
    fun read(): List<BackendServer> {
        val now = clock.nowMs()
        while (pending.isNotEmpty() && pending.first().visibleMs <= now) {
            seen = pending.removeFirst().servers
        }
        return seen
    }
}
