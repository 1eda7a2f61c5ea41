package org.hyssoprack.serving.fleet

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock

/**
 * The registered backend servers. Entries that lapsed while the store was away come back soon
 * after its return, so a removal in that time takes effect only [lapseGraceMs] after the return.
 */
class ServerRegistry(private val clock: Clock, private val lapseGraceMs: () -> Long) {
    private val servers = HashMap<BackendServerId, RegisteredServer>()
    private val lapsed = HashMap<BackendServerId, Long>()
    private var storeBackMs: Long? = null

    /** All servers that may get requests, and those that are leaving. */
    val all: Collection<RegisteredServer> get() = servers.values

    /** The store answers again since [agoMs] after it was away, in milliseconds. */
    fun storeRecovered(agoMs: Long = 0) {
        storeBackMs = clock.nowMs() - agoMs
    }

    /** Adds or replaces one entry. */
    fun put(server: RegisteredServer) {
        lapsed.remove(server.id)
        servers[server.id] = server
    }

    /** Removes the entry [id], at once or when the time for lapsed entries is over. */
    fun remove(id: BackendServerId) {
        val backMs = storeBackMs
        if (backMs == null || clock.nowMs() - backMs >= lapseGraceMs()) {
            drop(id)
            return
        }
        if (id in servers) lapsed[id] = backMs + lapseGraceMs()
    }

    /** Takes [listed] as the whole list. */
    fun replaceAll(listed: Collection<RegisteredServer>) {
        val ids = listed.mapTo(HashSet()) { it.id }
        servers.keys.filter { it !in ids }.forEach { remove(it) }
        listed.forEach { put(it) }
    }

    /** Drops lapsed entries whose time is over. Returns whether any was dropped. */
    fun dropLapsed(): Boolean {
        val nowMs = clock.nowMs()
        val over = lapsed.filterValues { it <= nowMs }.keys.toList()
        over.forEach { drop(it) }
        return over.isNotEmpty()
    }

    private fun drop(id: BackendServerId) {
        servers.remove(id)
        lapsed.remove(id)
    }
}
