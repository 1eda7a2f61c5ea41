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
    var servers = EntryServers(ownDomain, fleet)
        private set
    val requests = RequestTable(settings)
    val leases = LeaseBook(settings)
    val prefixes = PrefixCaches()
    val speeds = ServerSpeeds()
    private val routing = Routing(this)
    private val outputs = ArrayList<EntryOutput>()

    fun changeFleet(fleet: Fleet) {
        this.fleet = fleet
        servers = EntryServers(ownDomain, fleet)
        prefixes.retain(fleet.servers.keys)
        speeds.retain(fleet.servers.keys)
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

    fun rank(nowMs: Long, entry: EntryRequest): List<FleetServer> = routing.rank(nowMs, entry)

    /** Latest time at which a dispatch to [server] is expected to meet the deadline. */
    fun latestDispatch(nowMs: Long, entry: EntryRequest, server: FleetServer): Long =
        entry.request.deadlineAtMs - routing.serviceMs(nowMs, entry, server).toLong()

    fun measured(nowMs: Long, entry: EntryRequest, report: FinishReport) {
        val server = entry.server?.let { servers.find(it) } ?: return
        speeds.measured(nowMs, server, report)
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
        const val RETRY_MIN_MS = 500L
        const val RETRY_MAX_MS = 30_000L
    }
}
