package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.forwarding.ServerPools

/**
 * The requests of all hosts at the slot owner. A request is identified by its host's incarnation and
 * its number, whoever granted it a slot.
 *
 * @param members the hosts that may be serving, this one included.
 */
internal class LeaseTable(
    private val pools: ServerPools,
    private val members: () -> Set<HostRef>,
    private val clock: Clock,
    private val log: EventLog
) {
    private val clients = HashMap<HostRef, OwnerClient>()

    val isEmpty: Boolean get() = clients.isEmpty()

    fun client(host: HostRef): OwnerClient = clients.getOrPut(host) { OwnerClient() }

    fun find(host: HostRef, number: Long): Lease? = clients[host]?.leases?.get(number)

    fun remove(host: HostRef, number: Long): Lease? = clients[host]?.leases?.remove(number)

    /** Returns the requests with suspect parts that wait for a slot. */
    fun waitingSuspects(): List<Pair<HostRef, Lease>> = clients.flatMap { (host, client) ->
        client.leases.values.filter { it.waiting != null && it.suspectParts.isNotEmpty() }
            .map { host to it }
    }

    /** Returns the hosts that have reported within [withinMs]. */
    fun reportingHosts(withinMs: Long): Set<HostId> {
        val nowMs = clock.nowMs()
        return clients.filterValues {
            it.isFresh(nowMs, withinMs)
        }.keys.mapTo(HashSet()) { it.host }
    }

    /** Stops counting a host as reporting; it stays present, and its slots stay in use. */
    fun reportsElsewhere(from: HostRef) {
        val client = clients[from] ?: return
        client.reportedMs =
            minOf(client.reportedMs ?: return, clock.nowMs() - SlotOwner.FRESH_MS - 1)
    }

    /** Drops the slots that [from] does not report, and adopts those that are not known here. */
    fun reconcile(from: HostRef, report: SlotMessage.Report) {
        val nowMs = clock.nowMs()
        val client = client(from)
        val running = report.running.associateBy { it.number }
        client.leases.values
            .filter { it.number !in running && isOver(it, report, nowMs) }
            .forEach { drop(from, client, it, "not-reported") }
        running.values.filter { it.number !in client.leases }.forEach { adopt(client, it, nowMs) }
    }

    /**
     * Returns whether a granted request that [report] does not list as running has ended. It has not
     * while its host waits for the grant, however long that takes to arrive.
     */
    private fun isOver(lease: Lease, report: SlotMessage.Report, nowMs: Long): Boolean {
        if (lease.state == null || nowMs - lease.grantedMs <= TRANSIT_MS) return false
        val isKnown = report.lastNumber == 0L || lease.number <= report.lastNumber
        return isKnown && lease.number !in report.waiting
    }

    /** Drops the leases that cannot be in progress any more, and those of hosts that are gone. */
    fun dropExpired() {
        val nowMs = clock.nowMs()
        val serving = members()
        clients.forEach { (host, client) -> dropExpired(host, client, serving, nowMs) }
        clients.values.removeIf { it.leases.isEmpty() && !it.isFresh(nowMs, FORGET_MS) }
    }

    private fun dropExpired(
        host: HostRef,
        client: OwnerClient,
        members: Set<HostRef>,
        nowMs: Long
    ) {
        val isGone = host !in members && !client.isFresh(nowMs, GONE_MS)
        client.leases.values.filter { isGone || nowMs - it.endMs > TRANSIT_MS }.toList()
            .forEach { drop(host, client, it, if (isGone) "host-gone" else "deadline") }
    }

    private fun adopt(client: OwnerClient, slot: RunningSlot, nowMs: Long) {
        val state = pools[slot.service].state(slot.server) ?: return
        val lease = Lease(slot.number, slot.work, endMs = nowMs + slot.endMs, isRelayedHere = false)
        lease.adopted(state, nowMs, slot.isPromptRead)
        client.leases[slot.number] = lease
    }

    private fun drop(host: HostRef, client: OwnerClient, lease: Lease, reason: String) {
        log.event("slot-dropped", "host" eq host, "ask" eq lease.number, "reason" eq reason)
        client.leases.remove(lease.number)
        free(lease)
    }

    /** Releases the slot or the place in the queue of [lease], which has been removed. */
    fun free(lease: Lease) {
        val service = lease.state?.server?.service ?: lease.waiting?.service
        lease.waiting?.let { pools[it.service].withdraw(it) }
        lease.waiting = null
        lease.release()
        service?.let { pools[it].dispatchWaiting() }
    }

    private companion object {
        // Time without a report after which a host that is not a member counts as gone. A restarted
        // host is back sooner.
        const val GONE_MS = 2_000L
        const val FORGET_MS = 20_000L

        // Time after its grant or its deadline from which a lease may be dropped. Longer than a
        // message takes between two hosts, so that none about the lease is still in transit.
        const val TRANSIT_MS = 1_000L
    }
}
