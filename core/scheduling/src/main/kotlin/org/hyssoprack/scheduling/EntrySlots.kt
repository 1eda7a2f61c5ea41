package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef

/** Dispatches requests on the slots that an entry host holds, and gives unused slots back. */
internal class EntrySlots(private val state: EntryState, private val registrations: Registrations) {
    private val requests = state.requests
    private val leases = state.leases

    /** Dispatches [entry] on an idle slot of [server]; returns false if the host holds none. */
    fun dispatchOnIdle(nowMs: Long, entry: EntryRequest, server: FleetServer): Boolean {
        val lease = leases.usable(nowMs, server.id, entry.kind) ?: return false
        dispatch(nowMs, entry, lease)
        return true
    }

    fun granted(nowMs: Long, from: HostRef, grant: SlotMessage.Grant) {
        if (leases.find(grant.server, grant.lease) != null) return
        val server = state.servers.find(grant.server)
        val lapsesAtMs = grant.askedAtMs + grant.termMs
        if (leases.isClosed(grant.lease) || server == null || lapsesAtMs <= nowMs) {
            state.send(from.host, leases.refuse(nowMs, grant.server, grant.lease))
            return
        }
        val lease = EntryLease(
            id = grant.lease,
            server = grant.server,
            kind = SlotKind(server.pool, grant.tier, grant.long),
            receivedAtMs = nowMs,
            keepable = grant.keepable,
            held = grant.count,
            lapsesAtMs = lapsesAtMs
        )
        leases.add(lease)
        state.speeds.recordGrant(lease.server, lease.held)
        if (grant.keepable && grant.account != null) {
            state.blockDemand.recordSingleGrant(lease.server, lease.kind)
        }
        val suspended = grant.resuming?.let { requests.find(it) }
        if (suspended != null) resume(nowMs, suspended, lease)
        if (grant.resuming == null) dispatchForAccount(nowMs, grant, lease)
        fillIdleSlots(nowMs, lease)
    }

    private fun dispatchForAccount(nowMs: Long, grant: SlotMessage.Grant, lease: EntryLease) {
        val account = grant.account ?: return
        val groupKey = RequestGroupKey(server = lease.server, kind = lease.kind, account = account)
        registrations.granted(nowMs, groupKey)
        if (isLeaving(lease)) return
        val entry = choose(nowMs, registrations.waitingIn(groupKey), lease) ?: return
        dispatch(nowMs, entry, lease)
    }

    /** Dispatches waiting requests on idle slots of [lease]; gives back slots it must not keep. */
    private fun fillIdleSlots(nowMs: Long, lease: EntryLease) {
        while (lease.isUsable(nowMs) && !isLeaving(lease)) {
            val entry = choose(nowMs, requests.waiting(lease.kind), lease) ?: break
            dispatch(nowMs, entry, lease)
        }
        val mayKeep = lease.keepable && lease.held <= lease.remaining && !isLeaving(lease)
        if (!mayKeep || nowMs >= lease.lapsesAtMs) giveBackIdle(nowMs, lease)
    }

    /**
     * Returns the request with the least time left among those that can meet their deadline on the
     * server of [lease]. If there is none, returns the request with the least time left of all: if
     * the slot were given back, one would have to be freed for that request again.
     */
    private fun choose(
        nowMs: Long,
        waiting: Collection<EntryRequest>,
        lease: EntryLease
    ): EntryRequest? {
        val server = state.servers.find(lease.server) ?: return null
        var inTime: EntryRequest? = null
        var any: EntryRequest? = null
        for (entry in waiting) {
            if (isPastDeadline(nowMs, entry)) continue
            if (isSooner(entry, any)) any = entry
            if (isSooner(entry, inTime) && isInTime(nowMs, entry, server)) inTime = entry
        }
        return inTime ?: any
    }

    private fun isSooner(entry: EntryRequest, other: EntryRequest?): Boolean =
        other == null || entry.latestDispatchAtMs < other.latestDispatchAtMs

    private fun isInTime(nowMs: Long, entry: EntryRequest, server: FleetServer): Boolean =
        nowMs < state.latestDispatch(nowMs, entry, server)

    private fun isPastDeadline(nowMs: Long, entry: EntryRequest): Boolean =
        nowMs >= entry.request.deadlineAtMs

    private fun isLeaving(lease: EntryLease): Boolean =
        state.servers.find(lease.server)?.leaving ?: true

    private fun dispatch(nowMs: Long, entry: EntryRequest, lease: EntryLease) {
        occupy(entry, lease)
        entry.dispatchedAtMs = nowMs
        requests.dispatched(entry)
        state.add(EntryOutput.Dispatch(entry.id, lease.server))
        registrations.remove(entry)
        entry.uncachedTokens = state.prefixes.uncachedTokens(lease.server, entry.request)
        entry.request.prefixHash?.let { state.prefixes.update(lease.server, it, stored = true) }
    }

    private fun resume(nowMs: Long, entry: EntryRequest, lease: EntryLease) {
        if (entry.phase != RequestPhase.SUSPENDED || entry.preempting) return
        if (entry.server != lease.server || isPastDeadline(nowMs, entry)) return
        occupy(entry, lease)
        state.add(EntryOutput.Resume(entry.id, lease.server))
    }

    private fun occupy(entry: EntryRequest, lease: EntryLease) {
        lease.inUse++
        entry.phase = RequestPhase.RUNNING
        entry.server = lease.server
        entry.lease = lease
    }

    /** Frees the slot of a request that ended or was suspended. */
    fun release(nowMs: Long, entry: EntryRequest) {
        val lease = entry.lease ?: return
        entry.lease = null
        lease.inUse--
        lease.idleSinceMs = nowMs
        if (lease.keepable) return fillIdleSlots(nowMs, lease)
        giveBackIdle(nowMs, lease)
    }

    fun recalled(nowMs: Long, from: HostRef, message: SlotMessage.Recall) {
        for (id in message.leases) {
            val lease = leases.find(message.server, id)
            if (lease == null) {
                state.send(from.host, leases.refuse(nowMs, message.server, id))
                continue
            }
            lease.keepable = false
            giveBackIdle(nowMs, lease)
        }
    }

    fun preempt(nowMs: Long, message: SlotMessage.Preempt) {
        val lease = leases.find(message.server, message.lease) ?: return
        lease.remaining = minOf(lease.remaining, message.remaining)
        val idle = minOf(lease.idle, lease.held - lease.remaining)
        if (idle > 0) state.sendToOwner(lease.server, leases.giveBack(nowMs, lease, idle))
        val running = requests.runningOn(lease)
        val preemptCount = lease.held - lease.remaining - running.count { it.preempting }
        if (preemptCount <= 0) return
        val victims = running.filter { !it.preempting && !it.request.once }
        victims.sortedWith(leastWasteFirst(nowMs)).take(preemptCount).forEach { preemptOne(it) }
    }

    private fun leastWasteFirst(nowMs: Long): Comparator<EntryRequest> =
        compareBy<EntryRequest> { if (it.hasFirstToken) 1 else 0 }
            .thenBy { it.uncachedTokens }
            .thenBy { nowMs - it.dispatchedAtMs }

    private fun preemptOne(entry: EntryRequest) {
        val server = entry.server ?: return
        entry.preempting = true
        val suspend = state.servers.find(server)?.canSuspend ?: false
        state.add(EntryOutput.Preempt(entry.id, server, suspend))
    }

    fun fleetChanged(nowMs: Long) {
        leases.all().filter { isLeaving(it) }.forEach { giveBackIdle(nowMs, it) }
    }

    fun tick(nowMs: Long) {
        leases.all().filter { it.idle > 0 }.forEach {
            val unused = nowMs - it.idleSinceMs >= state.settings.blockIdleMs
            if (unused || nowMs >= it.lapsesAtMs) giveBackIdle(nowMs, it)
        }
        leases.forgetClosed(nowMs)
    }

    private fun giveBackIdle(nowMs: Long, lease: EntryLease) {
        if (lease.idle <= 0) return
        state.sendToOwner(lease.server, leases.giveBack(nowMs, lease, lease.idle))
    }
}
