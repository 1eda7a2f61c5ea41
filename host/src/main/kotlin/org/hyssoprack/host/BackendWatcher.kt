package org.hyssoprack.host

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.backend.EngineClient
import org.hyssoprack.backend.LoadReport
import org.hyssoprack.backend.ServiceClient
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.eq
import org.hyssoprack.store.BackendServer
import org.hyssoprack.store.BackendServerKind

/**
 * Polls the backend servers that this host owns on behalf of all hosts. Passes load reports to the
 * owner's scheduler and cache events to the entry hosts that use the server.
 */
class BackendWatcher(
    private val self: HostId,
    private val fleet: FleetTracker,
    private val owner: OwnerTask,
    private val engines: EngineClient,
    private val services: ServiceClient,
    private val clock: Clock,
    private val send: (HostId, HostMessage) -> Unit,
    private val log: EventLog
) {
    private val pollers = HashMap<BackendServerId, Job>()
    private val users = ConcurrentHashMap<BackendServerId, ConcurrentHashMap<HostId, Long>>()

    /** Records that [host] uses [server], so that it receives the server's cache events. */
    fun recordUse(server: BackendServerId, host: HostId) {
        users.computeIfAbsent(server) { ConcurrentHashMap() }[host] = clock.nowMs()
    }

    /** Starts the task in [scope]. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        while (true) {
            val owned = fleet.owned(self).associateBy { it.id }
            (pollers.keys - owned.keys).forEach { stopPolling(it) }
            (owned.keys - pollers.keys).forEach { id -> pollers[id] = launch { poll(id) } }
            delay(REFRESH_MS)
        }
    }

    private fun stopPolling(id: BackendServerId) {
        pollers.remove(id)?.cancel()
        users.remove(id)
        fleet.setAvailable(id, available = true)
    }

    private suspend fun poll(id: BackendServerId) {
        var misses = 0
        var sequence = 0L
        while (true) {
            val server = fleet.server(id)
            if (server != null) {
                val report = fetchLoad(server)
                misses = if (report == null) misses + 1 else 0
                handleReport(id, report, misses)
                if (server.kind == BackendServerKind.ENGINE && report != null) {
                    sequence = forwardCacheEvents(server, sequence)
                }
            }
            delay(if (misses == 0) POLL_MS else MISSED_POLL_MS)
        }
    }

    private suspend fun fetchLoad(server: BackendServer): LoadReport? = when (server.kind) {
        BackendServerKind.ENGINE -> engines.load(server)
        BackendServerKind.SERVICE -> services.load(server)
    }.getOrNull()

    private fun handleReport(id: BackendServerId, report: LoadReport?, misses: Int) {
        if (report != null) owner.loadReported(id, report.running, report.queued)
        val available = misses < MISSES_UNTIL_UNAVAILABLE && report?.leaving != true
        if (misses == MISSES_UNTIL_UNAVAILABLE) log.event("backend-unavailable", "server" eq id)
        fleet.setAvailable(id, available)
    }

    private suspend fun forwardCacheEvents(server: BackendServer, after: Long): Long {
        val events = engines.cacheEvents(server, after).getOrNull()
        if (events.isNullOrEmpty()) return after
        val message = CacheMessage(server = server.id, events = events)
        users(server.id).forEach { send(it, message) }
        return events.last().sequence
    }

    private fun users(id: BackendServerId): List<HostId> {
        val since = clock.nowMs() - USE_RETENTION_MS
        val seen = users[id] ?: return emptyList()
        seen.values.removeIf { it < since }
        return seen.keys.toList()
    }

    private companion object {
        const val REFRESH_MS = 250L
        const val POLL_MS = 1_000L
        const val MISSED_POLL_MS = 300L
        const val MISSES_UNTIL_UNAVAILABLE = 3
        const val USE_RETENTION_MS = 10_000L
    }
}
