package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/**
 * The lent slots of one backend server, as its owner knows them.
 *
 * A lease that lapses without a word of its holder no longer counts as lent, but stays in doubt: a
 * request may still run on it. The doubt ends when the holder is heard or has died.
 */
internal class OwnerLeaseTable(private val settings: SchedulingSettings) {
    private val leases = LinkedHashMap<LeaseId, OwnerLease>()
    private val doubtful = LinkedHashMap<LeaseId, OwnerLease>()
    private val closed = ClosedLeases(settings.unansweredLeaseMs)

    val lent: Int get() = leases.values.sumOf { it.held }
    val longLent: Int get() = leases.values.sumOf { if (it.long) it.held else 0 }
    val beingFreed: Int get() = leases.values.sumOf { it.beingFreed }

    fun all(): Collection<OwnerLease> = leases.values

    fun inDoubt(): Collection<OwnerLease> = doubtful.values

    /** Slots that [tier] and those below hold. */
    fun lentFrom(tier: TierRank): Int =
        leases.values.sumOf { if (tier.isAbove(it.tier) || tier == it.tier) it.held else 0 }

    fun add(lease: OwnerLease) {
        leases[lease.id] = lease
    }

    /** A lease that was granted for [resuming] and that its holder has not confirmed. */
    fun unconfirmed(resuming: RequestId, holder: HostRef): OwnerLease? = leases.values.firstOrNull {
        it.resuming == resuming && it.holder == holder && !it.renewed
    }

    /** Leases whose grant was perhaps lost, since their holders have not renewed them in time. */
    fun silent(nowMs: Long): List<OwnerLease> = leases.values.filter {
        !it.renewed && nowMs - it.grantedAtMs >= settings.renewIntervalMs * 2
    }

    /** Takes slots back; the lease if it has ended by that. */
    fun giveBack(nowMs: Long, holder: HostRef, message: SlotMessage.Return): OwnerLease? {
        val lease = leases[message.lease] ?: doubtful[message.lease]
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
        val unlisted = (leases.values + doubtful.values).filter {
            it.holder == holder && it.id !in listed && endedBefore(message.sentAtMs, it)
        }
        unlisted.forEach { close(nowMs, it) }
    }

    private fun endedBefore(sentAtMs: Long, lease: OwnerLease): Boolean =
        sentAtMs >= lease.askedAtMs + settings.leaseTermMs

    private fun renewOne(nowMs: Long, holder: HostRef, sentAtMs: Long, word: HeldLease) {
        if (word.lease in closed || word.held <= 0) return
        val lease =
            leases[word.lease] ?: doubtful.remove(word.lease) ?: adopted(nowMs, holder, word)
        if (lease.holder != holder) return
        leases[lease.id] = lease
        lease.shrinkTo(word.held)
        lease.inUse = minOf(word.inUse, lease.held)
        lease.renewed = true
        lease.lapsesAtMs = maxOf(lease.lapsesAtMs, nowMs + settings.leaseTermMs)
        lease.askedAtMs = maxOf(lease.askedAtMs, sentAtMs - settings.leaseTermMs)
    }

    private fun adopted(nowMs: Long, holder: HostRef, word: HeldLease): OwnerLease = OwnerLease(
        id = word.lease,
        holder = holder,
        tier = word.tier,
        long = word.long,
        grantedAtMs = nowMs,
        keepable = true,
        askedAtMs = Long.MIN_VALUE / 2,
        held = word.held,
        lapsesAtMs = nowMs + settings.leaseTermMs
    )

    /** Moves lapsed leases into doubt, and ends doubts that are too old. */
    fun lapse(nowMs: Long) {
        leases.values.filter { it.lapsesAtMs <= nowMs }.forEach {
            leases.remove(it.id)
            doubtful[it.id] = it
        }
        doubtful.values.removeIf { it.lapsesAtMs + settings.unansweredLeaseMs <= nowMs }
        closed.forget(nowMs)
    }

    fun removeOf(holder: HostRef) {
        leases.values.removeIf { it.holder == holder }
        doubtful.values.removeIf { it.holder == holder }
    }

    private fun close(nowMs: Long, lease: OwnerLease) {
        leases.remove(lease.id)
        doubtful.remove(lease.id)
        closed.add(nowMs, lease.id)
    }
}
