package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Prefixes that the caches of the backend servers are expected to hold. */
internal class PrefixCaches(private val limitPerServer: Int = LIMIT_PER_SERVER) {
    private val stored = HashMap<BackendServerId, LinkedHashSet<Long>>()

    fun update(server: BackendServerId, prefixHash: Long, stored: Boolean) {
        val prefixes = this.stored.getOrPut(server) { LinkedHashSet() }
        prefixes.remove(prefixHash)
        if (!stored) return
        prefixes.add(prefixHash)
        if (prefixes.size > limitPerServer) prefixes.remove(prefixes.first())
    }

    fun holds(server: BackendServerId, prefixHash: Long): Boolean =
        stored[server]?.contains(prefixHash) ?: false

    /** Returns the expected number of prompt tokens of [request] that [server] must process. */
    fun uncachedTokens(server: BackendServerId, request: WaitingRequest): Int {
        val prefix = request.prefixHash ?: return request.promptTokens
        return if (holds(server, prefix)) 0 else request.promptTokens
    }

    fun retain(servers: Set<BackendServerId>) {
        stored.keys.retainAll(servers)
    }

    private companion object {
        const val LIMIT_PER_SERVER = 4_096
    }
}
