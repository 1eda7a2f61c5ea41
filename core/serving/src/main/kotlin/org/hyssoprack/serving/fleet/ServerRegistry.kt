package org.hyssoprack.serving.fleet

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock

/**
 * In-memory registry of backend servers. Entries that lapse during a store outage are registered
 * again soon after it, so a removal within [lapseGraceMs] of the store's recovery takes effect only
 * at the end of that grace period.
 *
 * A restored store may list what was true some time ago. Where an entry contradicts what is known
 * here, the newer knowledge holds: until the server writes again, or, for a server that was gone,
 * until its entry has stayed for [entryLifetimeMs].
 *
 * @param entryLifetimeMs time after which the store has removed the entry of a server that does not
 *   renew it, in milliseconds.
 */
class ServerRegistry(
    private val clock: Clock,
    private val lapseGraceMs: () -> Long,
    private val entryLifetimeMs: () -> Long = { DEFAULT_ENTRY_LIFETIME_MS }
) {
    private val servers = HashMap<BackendServerId, RegisteredServer>()
    private val lapsed = HashMap<BackendServerId, Long>()
    private val gone = GoneServers(clock)
    private val heldBack = HashMap<BackendServerId, HeldBack>()
    private var storeRecoveredMs: Long? = null
    private var storeRestoredMs: Long? = null

    private class HeldBack(val server: RegisteredServer, val untilMs: Long)

    /** All servers that may receive requests, and those that are shutting down. */
    val all: Collection<RegisteredServer> get() = servers.values

    /** Starts the grace period for lapsed entries; the store recovered [agoMs] milliseconds ago. */
    fun storeRecovered(agoMs: Long = 0) {
        storeRecoveredMs = clock.nowMs() - agoMs
    }

    /** Records that what the store lists from now on may be older than what is known here. */
    fun storeRestored() {
        storeRestoredMs = clock.nowMs()
    }

    /** Adds or replaces one entry, which its server has just written. */
    fun put(server: RegisteredServer) {
        lapsed.remove(server.id)
        heldBack.remove(server.id)
        gone.remove(server.instance)
        servers[server.id] = server
    }

    /** Removes the entry [id], immediately or at the end of the grace period for lapsed entries. */
    fun remove(id: BackendServerId) {
        heldBack.remove(id)
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
        (servers.keys + heldBack.keys).filter { it !in ids }.forEach { remove(it) }
        listed.forEach { if (mayBeOutdated()) putRestored(it) else put(it) }
    }

    /**
     * Drops lapsed entries whose grace period has ended, and adds those that were held back and
     * that the store still lists. Returns whether there were any.
     */
    fun applyDue(): Boolean {
        val nowMs = clock.nowMs()
        val expired = lapsed.filterValues { it <= nowMs }.keys.toList()
        expired.forEach { drop(it) }
        val renewed = heldBack.values.filter { it.untilMs <= nowMs }
        renewed.forEach { put(it.server) }
        return expired.isNotEmpty() || renewed.isNotEmpty()
    }

    private fun mayBeOutdated(): Boolean {
        val restoredMs = storeRestoredMs ?: return false
        return clock.nowMs() - restoredMs < entryLifetimeMs()
    }

    private fun putRestored(listed: RegisteredServer) {
        val known = servers[listed.id]
        when {
            known == null && listed.instance in gone -> holdBack(listed)
            known == null -> put(listed)
            isOlder(listed, known) -> lapsed[listed.id] = clock.nowMs() + lapseGraceMs()
            known.isLeaving && known.isSameInstance(listed) -> put(listed.copy(isLeaving = true))
            else -> put(listed)
        }
    }

    private fun isOlder(listed: RegisteredServer, known: RegisteredServer): Boolean =
        listed.bornMs != null && known.bornMs != null && listed.bornMs < known.bornMs

    private fun holdBack(listed: RegisteredServer) {
        val untilMs = heldBack[listed.id]?.untilMs ?: (clock.nowMs() + entryLifetimeMs())
        heldBack[listed.id] = HeldBack(listed, untilMs)
    }

    private fun drop(id: BackendServerId) {
        servers.remove(id)?.let { gone.add(it.instance) }
        lapsed.remove(id)
    }

    private companion object {
        const val DEFAULT_ENTRY_LIFETIME_MS = 5_000L
    }
}
