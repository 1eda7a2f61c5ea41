package org.hyssoprack.scheduling

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.QueueRule
import org.hyssoprack.policy.Tier

/** Lends the slots of one backend server, from [lendFromMs] on. */
internal class SlotTable(
    private val settings: SchedulingSettings,
    private val leaseIds: LeaseIds,
    private val lendFromMs: Long,
    private val load: ServerLoad,
    server: FleetServer,
    pool: Pool,
    tiers: List<Tier>
) {
    var server = server
        private set
    private var pool = pool
    private var shares = SlotShares(pool, tiers)
    private val leases = OwnerLeaseTable(settings)
    private val queue = RegistrationQueue(pool.queueing)
    private val verdicts = ActiveVerdicts()
    private val preemption = Preemption(settings, leases)
    private val outputs = ArrayList<OwnerOutput>()
    private var recallBelow: TierRank? = null

    val lent: Int get() = leases.lent

    fun update(server: FleetServer, pool: Pool, tiers: List<Tier>) {
        this.server = server
        this.pool = pool
        shares = SlotShares(pool, tiers)
        load.changeSlots(server.slots, pool)
    }

    /** Registers waiting requests; answers a new registration that gets no slot with a digest. */
    fun register(nowMs: Long, from: HostRef, message: SlotMessage.Ask): List<OwnerOutput> {
        val key = RegistrationKey(
            holder = from,
            tier = message.tier,
            account = message.account,
            long = message.long,
            resuming = message.resuming
        )
        val isKnown = key in queue
        val sent = step(nowMs) { updateRegistration(nowMs, key, message) }
        if (isKnown || key !in queue) return sent
        return sent + OwnerOutput(from.host, SlotMessage.Digest(server.id, digest(nowMs)))
    }

    private fun updateRegistration(nowMs: Long, key: RegistrationKey, message: SlotMessage.Ask) {
        val lease = key.resuming?.let { leases.unconfirmed(it, key.holder) }
        if (lease != null) return sendGrant(lease)
        val registration = queue.registration(key, message.share)
        registration.update(nowMs, message, settings.registrationTermMs)
    }

    fun lendBlock(nowMs: Long, from: HostRef, message: SlotMessage.AskBlock): List<OwnerOutput> =
        step(nowMs) {
            val room = freeFor(nowMs, message.tier) / 2
            val count = minOf(message.count, settings.blockLimit, room)
            if (count <= 0 || !queue.isEmpty()) return@step
            val lease = OwnerLease(
                id = leaseIds.next(),
                holder = from,
                tier = message.tier,
                long = false,
                grantedAtMs = nowMs,
                keepable = true,
                termStartAtMs = message.sentAtMs,
                held = count,
                lapsesAtMs = nowMs + settings.leaseTermMs
            )
            leases.add(lease)
            sendGrant(lease)
        }

    fun withdraw(nowMs: Long, from: HostRef, message: SlotMessage.Withdraw): List<OwnerOutput> =
        step(nowMs) {
            val key = RegistrationKey(
                holder = from,
                tier = message.tier,
                account = message.account,
                long = message.long,
                resuming = message.resuming
            )
            queue.remove(key)
        }

    fun giveBack(nowMs: Long, from: HostRef, message: SlotMessage.Return): List<OwnerOutput> =
        step(nowMs) {
            val ended = leases.giveBack(nowMs, from, message)
            if (ended != null && !ended.keepable) {
                load.recordHoldTime(ended.long, nowMs - ended.grantedAtMs)
            }
        }

    fun renew(nowMs: Long, from: HostRef, message: SlotMessage.Renew): List<OwnerOutput> =
        step(nowMs) {
            leases.renew(nowMs, from, message)
            message.sample?.let { load.recordMeasurement(nowMs, it, leases.lent) }
            val digest = SlotMessage.Digest(server.id, digest(nowMs), message.sentAtMs)
            outputs.add(OwnerOutput(from.host, digest))
        }

    fun shedCheck(nowMs: Long, from: HostRef, message: SlotMessage.ShedCheck): List<OwnerOutput> =
        step(nowMs) {
            if (nowMs < lendFromMs) return@step
            if (leases.inDoubt().any { message.tier.isAbove(it.tier) }) return@step
            val slots = lowerTierSlots(message.tier, message.long)
            if (slots > 0) recallBelow = message.tier
            val termMs = if (message.binding && slots == 0) settings.verdictTermMs else 0
            if (termMs > 0) verdicts.add(from, message.tier, message.long, nowMs + termMs)
            val verdict = SlotMessage.ShedVerdict(
                server = server.id,
                tier = message.tier,
                long = message.long,
                lowerTierSlots = slots,
                checkedAtMs = message.sentAtMs,
                termMs = termMs
            )
            outputs.add(OwnerOutput(from.host, verdict))
        }

    fun hostGone(nowMs: Long, host: HostRef): List<OwnerOutput> = step(nowMs) {
        leases.removeAllOf(host)
        queue.removeAllOf(host)
        verdicts.removeAllOf(host)
    }

    fun tick(nowMs: Long): List<OwnerOutput> = step(nowMs) { }

    fun digest(nowMs: Long): ServerDigest = load.digest(nowMs, leases.lent, queue.countByTier())

    private fun step(nowMs: Long, change: () -> Unit): List<OwnerOutput> {
        leases.lapse(nowMs)
        verdicts.removeLapsed(nowMs)
        change()
        queue.removeEnded(nowMs)
        lendToWaiting(nowMs)
        recall(nowMs)
        outputs +=
            preemption.outputs(nowMs, server.id, queue.urgent(), load.limit, ::longCapReached)
        val sent = outputs.toList()
        outputs.clear()
        return sent
    }

    private fun lendToWaiting(nowMs: Long) {
        while (leases.lent < load.limit) {
            val registration = queue.next { canLend(nowMs, it) } ?: return
            lend(nowMs, registration)
        }
    }

    private fun canLend(nowMs: Long, registration: Registration): Boolean {
        if (server.leaving && !registration.isResuming) return false
        if (freeFor(nowMs, registration.tier) <= 0) return false
        return !registration.long || !longCapReached()
    }

    private fun lend(nowMs: Long, registration: Registration) {
        queue.served(registration, load.holdMs(registration.long))
        val lease = OwnerLease(
            id = leaseIds.next(),
            holder = registration.holder,
            tier = registration.tier,
            long = registration.long,
            account = registration.key.account,
            resuming = registration.key.resuming,
            grantedAtMs = nowMs,
            keepable = hasSpareSlots(),
            termStartAtMs = registration.askedAtMs,
            held = 1,
            lapsesAtMs = nowMs + settings.leaseTermMs
        )
        leases.add(lease)
        sendGrant(lease)
    }

    private fun sendGrant(lease: OwnerLease) {
        val grant = SlotMessage.Grant(
            server = server.id,
            lease = lease.id,
            tier = lease.tier,
            count = lease.held,
            termMs = settings.leaseTermMs,
            askedAtMs = lease.termStartAtMs,
            account = lease.account,
            resuming = lease.resuming,
            long = lease.long,
            keepable = lease.keepable
        )
        outputs.add(OwnerOutput(lease.holder.host, grant))
    }

    /** Returns the number of slots that may be lent to [tier] now. */
    private fun freeFor(nowMs: Long, tier: TierRank): Int {
        if (nowMs < lendFromMs) return 0
        if (pool.queueing == QueueRule.TIERED && verdicts.blocks(tier, longCapReached())) return 0
        val limit = load.limit
        val underCap = shares.capOf(tier, limit) - leases.lentAtOrBelow(tier)
        return minOf(limit - leases.lent, underCap)
    }

    private fun longCapReached(): Boolean = leases.longLent >= shares.longCap(load.limit)

    private fun hasSpareSlots(): Boolean {
        if (!queue.isEmpty() || server.leaving) return false
        return leases.lent < load.limit * SPARE_BELOW_SHARE
    }

    private fun lowerTierSlots(tier: TierRank, long: Boolean): Int {
        if (pool.queueing == QueueRule.ARRIVAL) return 0
        val lower = leases.all().filter { tier.isAbove(it.tier) }
        val usable = if (long && longCapReached()) lower.filter { it.long } else lower
        return usable.sumOf { it.held }
    }

    /** Recalls unused slots while requests wait, and leases that are in doubt or not renewed. */
    private fun recall(nowMs: Long) {
        val unused = leases.all().filter { it.keepable && shouldRecall(it) }
        recallBelow = null
        val due = (leases.inDoubt() + leases.unrenewed(nowMs) + unused).filter {
            nowMs - settings.messageRepeatMs >= it.recallSentAtMs
        }
        due.forEach { it.recallSentAtMs = nowMs }
        due.groupBy { it.holder.host }.forEach { (host: HostId, leases: List<OwnerLease>) ->
            outputs.add(OwnerOutput(host, SlotMessage.Recall(server.id, leases.map { it.id })))
        }
    }

    private fun shouldRecall(lease: OwnerLease): Boolean {
        if (!queue.isEmpty() || server.leaving) return true
        return recallBelow?.isAbove(lease.tier) ?: false
    }

    private companion object {
        const val SPARE_BELOW_SHARE = 0.9
    }
}
