package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** State that the components of an entry scheduler share, and the outputs of the current call. */
internal class EntryState(
    private val self: HostRef,
    private val ownDomain: FailureDomain,
    val settings: SchedulingSettings
) {
    var fleet = Fleet(emptyMap(), emptyMap())
        private set
    var servers = entryServers()
        private set
    val requests = RequestTable(settings)
    val leases = EntryLeaseTable(settings)
    val prefixes = PrefixCaches()
    val speeds = ServerSpeeds()
    val recentCandidates = RecentCandidates()
    val blockDemand = BlockDemand()
    private val routing = Routing(leases, speeds, prefixes)
    private val outputs = ArrayList<EntryOutput>()

    private fun entryServers(): EntryServers = EntryServers(
        ownDomain = ownDomain,
        hostKey = self.host.value.hashCode().toLong(),
        candidateLimit = settings.candidateLimit,
        fleet = fleet
    )

    fun changeFleet(fleet: Fleet) {
        this.fleet = fleet
        servers = entryServers()
        prefixes.retain(fleet.servers.keys)
        speeds.retain(fleet.servers.keys)
        recentCandidates.clear()
        routing.retain(fleet.pools.keys)
    }

    fun add(output: EntryOutput) {
        outputs.add(output)
    }

    /** Sends [message] to the owner of [server]; dropped if the fleet has no such server. */
    fun sendToOwner(server: BackendServerId, message: SlotMessage) {
        val owner = servers.find(server)?.owner ?: return
        send(owner, message)
    }

    fun send(to: HostId, message: SlotMessage) {
        outputs.add(EntryOutput.Send(to, message))
    }

    fun takeOutputs(): List<EntryOutput> {
        val taken = outputs.toList()
        outputs.clear()
        return taken
    }

    fun rank(nowMs: Long, entry: EntryRequest): List<RankedServer> {
        val ranked = routing.rank(nowMs, entry, servers)
        recentCandidates.record(nowMs, entry.request.pool, ranked)
        return ranked
    }

    /** Returns false if the request may wait only for the first server that was chosen. */
    fun canWiden(entry: EntryRequest): Boolean =
        routing.strategy(servers, entry.request.pool).canWiden

    /** Returns the latest dispatch time at which [server] is expected to meet the deadline. */
    fun latestDispatch(nowMs: Long, entry: EntryRequest, server: FleetServer): Long =
        entry.request.deadlineAtMs - (freshServiceMs(nowMs, entry, server) * MARGIN).toLong()

    /**
     * Returns the expected service time, or 0 without a recent measurement, so that no request is
     * rejected because of an outdated one.
     */
    private fun freshServiceMs(nowMs: Long, entry: EntryRequest, server: FleetServer): Double {
        if (!speeds.isFresh(nowMs, server)) return 0.0
        return routing.serviceMs(nowMs, entry, server)
    }

    /** Records the first-token time of a long answer early, as the answer ends much later. */
    fun firstToken(nowMs: Long, entry: EntryRequest, elapsedMs: Long) {
        entry.hasFirstToken = true
        val server = entry.server?.let { servers.find(it) } ?: return
        if (!entry.kind.long || entry.isFirstTokenMeasured || entry.wasSuspended) return
        entry.isFirstTokenMeasured = true
        val report = FinishReport(
            firstTokenMs = elapsedMs,
            tokenMs = null,
            promptTokens = entry.uncachedTokens
        )
        speeds.recordMeasurement(nowMs, server, report)
    }

    /** Records the times of a finished request, unless they include a suspension. */
    fun recordMeasurement(nowMs: Long, entry: EntryRequest, report: FinishReport) {
        val server = entry.server?.let { servers.find(it) } ?: return
        if (entry.wasSuspended) return
        val first = if (entry.isFirstTokenMeasured) null else report.firstTokenMs
        speeds.recordMeasurement(nowMs, server, report.copy(firstTokenMs = first))
        speeds.recordHoldTime(entry.kind.long, nowMs - entry.dispatchedAtMs)
    }

    /** Returns the estimated time in milliseconds until a request like [entry] gets a slot. */
    fun retryAfterMs(entry: EntryRequest): Long {
        val slots = servers.ofPool(entry.request.pool).sumOf { it.slots }.coerceAtLeast(1)
        val waiting = requests.waitingInTier(entry.kind)
        val slotMs = speeds.meanHoldMs(entry.kind)
        return (slotMs * waiting / slots).toLong().coerceIn(RETRY_MIN_MS, RETRY_MAX_MS)
    }

    /** Rejects a request that was not dispatched. */
    fun reject(entry: EntryRequest, failure: Failure) {
        requests.drop(entry)
        outputs.add(EntryOutput.Reject(entry.id, failure))
    }

    private companion object {
        const val MARGIN = 1.15
        const val RETRY_MIN_MS = 500L
        const val RETRY_MAX_MS = 30_000L
    }
}
