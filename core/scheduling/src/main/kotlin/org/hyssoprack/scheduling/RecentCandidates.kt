package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.PoolName

/** Servers that requests were recently compared for, so that their digests are needed. */
internal class RecentCandidates {
    private val usedAtMs = HashMap<PoolName, Long>()
    private val servers = HashMap<PoolName, Set<BackendServerId>>()

    /** Records that [candidates] were compared for a request. */
    fun record(nowMs: Long, pool: PoolName, candidates: List<RankedServer>) {
        usedAtMs[pool] = nowMs
        if (servers[pool]?.size == candidates.size) return
        servers[pool] = candidates.map { it.server.id }.toSet()
    }

    /**
     * Returns the recorded servers of the pools that had requests within the last [TERM_MS]
     * milliseconds.
     */
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
