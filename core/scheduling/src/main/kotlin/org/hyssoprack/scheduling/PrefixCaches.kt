package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Which prefixes the backend servers are thought to hold in their caches. */
internal class PrefixCaches(private val limitPerServer: Int = LIMIT_PER_SERVER) {
    private val stored = HashMap<BackendServerId, LinkedHashSet<Long>>()

    fun changed(server: BackendServerId, prefixHash: Long, stored: Boolean) {
        val prefixes = this.stored.getOrPut(server) { LinkedHashSet() }
        prefixes.remove(prefixHash)
        if (!stored) return
        prefixes.add(prefixHash)
        if (prefixes.size > limitPerServer) prefixes.remove(prefixes.first())
    }

    fun holds(server: BackendServerId, prefixHash: Long): Boolean =
        stored[server]?.contains(prefixHash) ?: false

    /** Prompt tokens of a running request that its server probably had to process. */
    fun uncachedTokens(entry: EntryRequest): Int = entry.request.promptTokens

    fun retain(servers: Set<BackendServerId>) {
        stored.keys.retainAll(servers)
    }

    private companion object {
        const val LIMIT_PER_SERVER = 4_096
    }
}
