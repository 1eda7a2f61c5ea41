package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** The slot leases that an entry host holds. */
internal class EntryLeaseTable(private val settings: SchedulingSettings) {
    private val byServer = HashMap<BackendServerId, LinkedHashMap<LeaseId, EntryLease>>()
    private val closed = ClosedLeases(settings.inDoubtLeaseMs)

    val servers: Set<BackendServerId> get() = byServer.keys

    fun find(server: BackendServerId, id: LeaseId): EntryLease? = byServer[server]?.get(id)

    fun isClosed(id: LeaseId): Boolean = id in closed

    fun of(server: BackendServerId): Collection<EntryLease> = byServer[server]?.values.orEmpty()

    fun all(): List<EntryLease> = byServer.values.flatMap { it.values }

    /** Returns a lease of [server] with an idle slot for [kind], or null. */
    fun usable(nowMs: Long, server: BackendServerId, kind: SlotKind): EntryLease? =
        of(server).firstOrNull { it.kind == kind && it.isUsable(nowMs) }

    fun add(lease: EntryLease) {
        byServer.getOrPut(lease.server) { LinkedHashMap() }[lease.id] = lease
    }

    /** Gives up [count] idle slots of [lease]; returns the message for the owner. */
    fun giveBack(nowMs: Long, lease: EntryLease, count: Int): SlotMessage.Return {
        lease.held -= count
        if (lease.held == 0) remove(nowMs, lease)
        return SlotMessage.Return(server = lease.server, lease = lease.id, held = lease.held)
    }

    /** Refuses a lease that this host does not hold; later grants with its id are refused too. */
    fun refuse(nowMs: Long, server: BackendServerId, id: LeaseId): SlotMessage.Return {
        closed.add(nowMs, id)
        return SlotMessage.Return(server = server, lease = id, held = 0)
    }

    /** Extends the leases that this host held when it sent a renewal at [sentAtMs]. */
    fun confirm(server: BackendServerId, sentAtMs: Long) {
        of(server).filter { it.receivedAtMs < sentAtMs }.forEach {
            it.lapsesAtMs = maxOf(it.lapsesAtMs, sentAtMs + settings.leaseTermMs)
        }
    }

    fun forgetClosed(nowMs: Long) = closed.forget(nowMs)

    private fun remove(nowMs: Long, lease: EntryLease) {
        val leases = byServer[lease.server] ?: return
        leases.remove(lease.id)
        if (leases.isEmpty()) byServer.remove(lease.server)
        closed.add(nowMs, lease.id)
    }
}
