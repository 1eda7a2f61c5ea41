package org.hyssoprack.scheduling

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.QueueRule
import org.hyssoprack.policy.Tier

/** Lends the slots of one backend server. Nothing is lent before [lendFromMs]. */
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
    private val leases = LeaseTable(settings)
    private val queue = RegistrationQueue(pool.queueing)
    private val watches = TierWatches()
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

    fun ask(nowMs: Long, from: HostRef, message: SlotMessage.Ask): List<OwnerOutput> = step(nowMs) {
        val lease = leases.unconfirmed(message.requestId, from)
        if (lease == null) {
            queue.put(registration(nowMs, from, message))
        } else {
            lease.askedAtMs = maxOf(lease.askedAtMs, message.sentAtMs)
            lease.lapsesAtMs = nowMs + settings.leaseTermMs
            sendGrant(lease)
        }
    }

    fun askBlock(nowMs: Long, from: HostRef, message: SlotMessage.AskBlock): List<OwnerOutput> =
        step(nowMs) {
            val room = freeFor(nowMs, message.tier) / 2
            val count = minOf(message.count, settings.blockLimit, room)
            if (count <= 0 || queue.size > 0) return@step
            val lease = OwnerLease(
                id = leaseIds.next(),
                holder = from,
                tier = message.tier,
                long = false,
                requestId = null,
                grantedAtMs = nowMs,
                keepable = true,
                askedAtMs = message.sentAtMs,
                held = count,
                lapsesAtMs = nowMs + settings.leaseTermMs
            )
            leases.add(lease)
            sendGrant(lease)
        }

    fun withdraw(nowMs: Long, from: HostRef, message: SlotMessage.Withdraw): List<OwnerOutput> =
        step(nowMs) {
            if (queue.find(message.requestId)?.holder == from) queue.remove(message.requestId)
        }

    fun giveBack(nowMs: Long, from: HostRef, message: SlotMessage.Return): List<OwnerOutput> =
        step(nowMs) {
            val ended = leases.giveBack(nowMs, from, message)
            if (ended != null && !ended.keepable) load.held(ended.long, nowMs - ended.grantedAtMs)
        }

    fun renew(nowMs: Long, from: HostRef, message: SlotMessage.Renew): List<OwnerOutput> =
        step(nowMs) {
            leases.renew(nowMs, from, message)
            message.sample?.let { load.measured(nowMs, it, leases.lent) }
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
            if (termMs > 0) watches.add(from, message.tier, message.long, nowMs + termMs)
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
        leases.removeOf(host)
        queue.removeOf(host)
        watches.removeOf(host)
    }

    fun tick(nowMs: Long): List<OwnerOutput> = step(nowMs) { queue.removeLapsed(nowMs) }

    fun digest(nowMs: Long): ServerDigest = load.digest(nowMs, leases.lent, queue.countByTier())

    private fun step(nowMs: Long, change: () -> Unit): List<OwnerOutput> {
        leases.lapse(nowMs)
        watches.removeLapsed(nowMs)
        change()
        lendToWaiting(nowMs)
        recall(nowMs)
        outputs += preemption.outputs(nowMs, server.id, queue.all(), load.limit, ::longFull)
        val sent = outputs.toList()
        outputs.clear()
        return sent
    }

    private fun registration(nowMs: Long, from: HostRef, message: SlotMessage.Ask): Registration {
        val known = queue.find(message.requestId)?.takeIf { it.holder == from }
        val registration = known ?: Registration(
            requestId = message.requestId,
            holder = from,
            tier = message.tier,
            account = message.account,
            share = message.share,
            long = message.long,
            resuming = message.resuming != null,
            arrivedAtMs = nowMs
        )
        if (message.sentAtMs >= registration.askedAtMs) registration.urgent = message.urgent
        registration.askedAtMs = maxOf(registration.askedAtMs, message.sentAtMs)
        registration.latestDispatchAtMs = nowMs + message.slackMs
        registration.lapsesAtMs = nowMs + settings.registrationTermMs
        return registration
    }

    private fun lendToWaiting(nowMs: Long) {
        while (true) {
            val registration = queue.next { canLend(nowMs, it) } ?: return
            lend(nowMs, registration)
        }
    }

    private fun canLend(nowMs: Long, registration: Registration): Boolean {
        if (server.leaving && !registration.resuming) return false
        if (freeFor(nowMs, registration.tier) <= 0) return false
        return !registration.long || !longFull()
    }

    private fun lend(nowMs: Long, registration: Registration) {
        queue.remove(registration.requestId)
        queue.served(registration, load.holdMs(registration.long))
        val lease = OwnerLease(
            id = leaseIds.next(),
            holder = registration.holder,
            tier = registration.tier,
            long = registration.long,
            requestId = registration.requestId,
            grantedAtMs = nowMs,
            keepable = isPlentiful(),
            askedAtMs = registration.askedAtMs,
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
            askedAtMs = lease.askedAtMs,
            requestId = lease.requestId,
            long = lease.long,
            keep = lease.keepable
        )
        outputs.add(OwnerOutput(lease.holder.host, grant))
    }

    /** Slots that may be lent to [tier] now. */
    private fun freeFor(nowMs: Long, tier: TierRank): Int {
        if (nowMs < lendFromMs) return 0
        if (pool.queueing == QueueRule.TIERED && watches.blocks(tier, longFull())) return 0
        val limit = load.limit
        val underCap = shares.capOf(tier, limit) - leases.lentFrom(tier)
        return minOf(limit - leases.lent, underCap)
    }

    private fun longFull(): Boolean = leases.longLent >= shares.longCap(load.limit)

    private fun isPlentiful(): Boolean {
        if (queue.size > 0 || server.leaving) return false
        return leases.lent < load.limit * PLENTIFUL_SHARE
    }

    private fun lowerTierSlots(tier: TierRank, long: Boolean): Int {
        if (pool.queueing == QueueRule.ARRIVAL) return 0
        val lower = leases.all().filter { tier.isAbove(it.tier) }
        val usable = if (long && longFull()) lower.filter { it.long } else lower
        return usable.sumOf { it.held }
    }

    /** Asks unused slots back while requests wait, and asks about leases in doubt. */
    private fun recall(nowMs: Long) {
        val wanted = leases.all().filter { it.keepable && isWantedBack(it) }
        recallBelow = null
        val due = (leases.inDoubt() + wanted).filter {
            nowMs - settings.messageRepeatMs >= it.recallAskedAtMs
        }
        due.forEach { it.recallAskedAtMs = nowMs }
        due.groupBy { it.holder.host }.forEach { (host: HostId, leases: List<OwnerLease>) ->
            outputs.add(OwnerOutput(host, SlotMessage.Recall(server.id, leases.map { it.id })))
        }
    }

    private fun isWantedBack(lease: OwnerLease): Boolean {
        if (queue.size > 0 || server.leaving) return true
        return recallBelow?.isAbove(lease.tier) ?: false
    }

    private companion object {
        const val PLENTIFUL_SHARE = 0.7
    }
}
