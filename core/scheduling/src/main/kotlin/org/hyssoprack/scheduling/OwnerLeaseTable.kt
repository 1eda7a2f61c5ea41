package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/**
 * The slots of one backend server that its owner has lent.
 *
 * A lease that lapses without a renewal no longer counts as lent, but is in doubt: a request may
 * still run on it. It is resolved by a message from its holder, by the holder's death, or after
 * [SchedulingSettings.inDoubtLeaseMs].
 */
internal class OwnerLeaseTable(private val settings: SchedulingSettings) {
    private val leases = LinkedHashMap<LeaseId, OwnerLease>()
    private val inDoubtById = LinkedHashMap<LeaseId, OwnerLease>()
    private val closed = ClosedLeases(settings.inDoubtLeaseMs)

    val lent: Int get() = leases.values.sumOf { it.held }
    val longLent: Int get() = leases.values.sumOf { if (it.long) it.held else 0 }
    val beingFreed: Int get() = leases.values.sumOf { it.beingFreed }

    fun all(): Collection<OwnerLease> = leases.values

    fun inDoubt(): Collection<OwnerLease> = inDoubtById.values

    /** Returns the number of slots that [tier] and the tiers below it hold. */
    fun lentAtOrBelow(tier: TierRank): Int =
        leases.values.sumOf { if (tier.isAbove(it.tier) || tier == it.tier) it.held else 0 }

    fun add(lease: OwnerLease) {
        leases[lease.id] = lease
    }

    /** Returns a lease that was granted for [resuming] and has not been renewed yet, or null. */
    fun unconfirmed(resuming: RequestId, holder: HostRef): OwnerLease? = leases.values.firstOrNull {
        it.resuming == resuming && it.holder == holder && !it.renewed
    }

    /** Returns leases that were not renewed in time, so that their grants may have been lost. */
    fun unrenewed(nowMs: Long): List<OwnerLease> = leases.values.filter {
        !it.renewed && nowMs - it.grantedAtMs >= settings.renewIntervalMs * 2
    }

    /** Takes returned slots back; returns the lease if that ended it, else null. */
    fun giveBack(nowMs: Long, holder: HostRef, message: SlotMessage.Return): OwnerLease? {
        val lease = leases[message.lease] ?: inDoubtById[message.lease]
        if (lease == null) {
            if (message.held <= 0) closed.add(nowMs, message.lease)
            return null
        }
        if (lease.holder != holder) return null
        lease.shrinkTo(message.held)
        if (lease.held > 0) return null
        close(nowMs, lease)
        return lease
    }

    fun renew(nowMs: Long, holder: HostRef, message: SlotMessage.Renew) {
        message.leases.forEach { renewOne(nowMs, holder, message.sentAtMs, it) }
        val listed = message.leases.map { it.lease }.toSet()
        val unlisted = (leases.values + inDoubtById.values).filter {
            it.holder == holder && it.id !in listed && endedBefore(message.sentAtMs, it)
        }
        unlisted.forEach { close(nowMs, it) }
    }

    private fun endedBefore(sentAtMs: Long, lease: OwnerLease): Boolean =
        sentAtMs >= lease.termStartAtMs + settings.leaseTermMs

    private fun renewOne(nowMs: Long, holder: HostRef, sentAtMs: Long, reported: HeldLease) {
        if (reported.lease in closed || reported.held <= 0) return
        val lease =
            leases[reported.lease]
                ?: inDoubtById.remove(reported.lease)
                ?: adopted(nowMs, holder, reported)
        if (lease.holder != holder) return
        leases[lease.id] = lease
        lease.shrinkTo(reported.held)
        lease.inUse = minOf(reported.inUse, lease.held)
        lease.renewed = true
        lease.lapsesAtMs = maxOf(lease.lapsesAtMs, nowMs + settings.leaseTermMs)
        lease.termStartAtMs = maxOf(lease.termStartAtMs, sentAtMs - settings.leaseTermMs)
    }

    private fun adopted(nowMs: Long, holder: HostRef, reported: HeldLease): OwnerLease = OwnerLease(
        id = reported.lease,
        holder = holder,
        tier = reported.tier,
        long = reported.long,
        grantedAtMs = nowMs,
        keepable = true,
        termStartAtMs = Long.MIN_VALUE / 2,
        held = reported.held,
        lapsesAtMs = nowMs + settings.leaseTermMs
    )

    /** Marks lapsed leases as in doubt, and drops those that have been in doubt for too long. */
    fun lapse(nowMs: Long) {
        leases.values.filter { it.lapsesAtMs <= nowMs }.forEach {
            leases.remove(it.id)
            inDoubtById[it.id] = it
        }
        inDoubtById.values.removeIf { it.lapsesAtMs + settings.inDoubtLeaseMs <= nowMs }
        closed.forget(nowMs)
    }

    fun removeAllOf(holder: HostRef) {
        leases.values.removeIf { it.holder == holder }
        inDoubtById.values.removeIf { it.holder == holder }
    }

    private fun close(nowMs: Long, lease: OwnerLease) {
        leases.remove(lease.id)
        inDoubtById.remove(lease.id)
        closed.add(nowMs, lease.id)
    }
}
