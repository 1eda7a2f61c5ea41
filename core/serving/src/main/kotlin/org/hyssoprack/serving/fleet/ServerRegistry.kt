package org.hyssoprack.serving.fleet

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock

/**
 * In-memory registry of backend servers. Entries that lapse during a store outage are registered
 * again soon after it, so a removal within [lapseGraceMs] of the store's recovery takes effect only
 * at the end of that grace period.
 */
class ServerRegistry(private val clock: Clock, private val lapseGraceMs: () -> Long) {
    private val servers = HashMap<BackendServerId, RegisteredServer>()
    private val lapsed = HashMap<BackendServerId, Long>()
    private var storeRecoveredMs: Long? = null

    /** All servers that may receive requests, and those that are shutting down. */
    val all: Collection<RegisteredServer> get() = servers.values

    /** Starts the grace period for lapsed entries; the store recovered [agoMs] milliseconds ago. */
    fun storeRecovered(agoMs: Long = 0) {
        storeRecoveredMs = clock.nowMs() - agoMs
    }

    /** Adds or replaces one entry. */
    fun put(server: RegisteredServer) {
        lapsed.remove(server.id)
        servers[server.id] = server
    }

    /** Removes the entry [id], immediately or at the end of the grace period for lapsed entries. */
    fun remove(id: BackendServerId) {
        val recoveredMs = storeRecoveredMs
        if (recoveredMs == null || clock.nowMs() - recoveredMs >= lapseGraceMs()) {
            drop(id)
            return
        }
        if (id in servers) lapsed[id] = recoveredMs + lapseGraceMs()
    }

    /** Replaces all entries with [listed]; entries not in it are removed as by [remove]. */
    fun replaceAll(listed: Collection<RegisteredServer>) {
        val ids = listed.mapTo(HashSet()) { it.id }
        servers.keys.filter { it !in ids }.forEach { remove(it) }
        listed.forEach { put(it) }
    }

    /** Drops lapsed entries whose grace period has ended. Returns whether any was dropped. */
    fun dropLapsed(): Boolean {
        val nowMs = clock.nowMs()
        val expired = lapsed.filterValues { it <= nowMs }.keys.toList()
        expired.forEach { drop(it) }
        return expired.isNotEmpty()
    }

    private fun drop(id: BackendServerId) {
        servers.remove(id)
        lapsed.remove(id)
    }
}
