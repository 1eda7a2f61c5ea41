package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.PoolName

/** The servers whose digests matter to an entry host, since requests of their pools came lately. */
internal class RecentCandidates {
    private val usedAtMs = HashMap<PoolName, Long>()
    private val servers = HashMap<PoolName, Set<BackendServerId>>()

    /** Notes that a request compared [candidates]. */
    fun compared(nowMs: Long, pool: PoolName, candidates: List<RankedServer>) {
        usedAtMs[pool] = nowMs
        if (servers[pool]?.size == candidates.size) return
        servers[pool] = candidates.map { it.server.id }.toSet()
    }

    /** Servers of the pools that were used lately. */
    fun current(nowMs: Long): List<BackendServerId> {
        usedAtMs.values.removeIf { nowMs - it >= TERM_MS }
        servers.keys.retainAll(usedAtMs.keys)
        return servers.values.flatten()
    }

    fun clear() = servers.clear()

    private companion object {
        const val TERM_MS = 10_000L
    }
}
