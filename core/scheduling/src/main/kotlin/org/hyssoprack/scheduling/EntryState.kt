package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** State that the parts of an entry scheduler share, and the outputs of the current step. */
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
    val interest = RecentCandidates()
    val demand = BlockDemand()
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
        interest.clear()
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
        interest.compared(nowMs, entry.request.pool, ranked)
        return ranked
    }

    /** False if a request waits for the first server chosen, and for no other. */
    fun widens(entry: EntryRequest): Boolean = routing.strategy(servers, entry.request.pool).widens

    /** Latest time at which a dispatch to [server] is expected to meet the deadline. */
    fun latestDispatch(nowMs: Long, entry: EntryRequest, server: FleetServer): Long =
        entry.request.deadlineAtMs - (freshServiceMs(nowMs, entry, server) * MARGIN).toLong()

    /** Expected service time; 0 without a recent measurement, so that an old one rejects nothing. */
    private fun freshServiceMs(nowMs: Long, entry: EntryRequest, server: FleetServer): Double {
        if (!speeds.isFresh(nowMs, server)) return 0.0
        return routing.serviceMs(nowMs, entry, server)
    }

    /** Takes in the first token of a long answer, whose end is far. */
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
        speeds.measured(nowMs, server, report)
    }

    /** Takes in a finished request; times that include a suspension tell nothing of the server. */
    fun measured(nowMs: Long, entry: EntryRequest, report: FinishReport) {
        val server = entry.server?.let { servers.find(it) } ?: return
        if (entry.wasSuspended) return
        val first = if (entry.isFirstTokenMeasured) null else report.firstTokenMs
        speeds.measured(nowMs, server, report.copy(firstTokenMs = first))
        speeds.held(entry.kind.long, nowMs - entry.dispatchedAtMs)
    }

    /** Estimated time after which a request like [entry] would find a slot. */
    fun retryAfterMs(entry: EntryRequest): Long {
        val slots = servers.ofPool(entry.request.pool).sumOf { it.slots }.coerceAtLeast(1)
        val waiting = requests.waitingBeside(entry.kind)
        val slotMs = speeds.meanHoldMs(entry.kind)
        return (slotMs * waiting / slots).toLong().coerceIn(RETRY_MIN_MS, RETRY_MAX_MS)
    }

    /** Ends a request that was not dispatched. */
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
