package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Chooses the leases of lower tiers that make room for urgent requests. */
internal class Preemption(
    private val settings: SchedulingSettings,
    private val leases: OwnerLeaseTable
) {
    /** Messages to holders, so that the [urgent] requests get slots. */
    fun outputs(
        nowMs: Long,
        server: BackendServerId,
        urgent: List<Registration>,
        limit: Int,
        longFull: () -> Boolean
    ): List<OwnerOutput> {
        giveUpUnanswered(nowMs)
        var expected = (limit - leases.lent).coerceAtLeast(0) + leases.beingFreed
        for (registration in urgent) {
            repeat(registration.urgent) {
                if (expected-- <= 0) choose(registration, longFull())
            }
        }
        val due = leases.all().filter {
            it.beingFreed > 0 && nowMs - settings.messageRepeatMs >= it.preemptAskedAtMs
        }
        return due.map { preempt(nowMs, server, it) }
    }

    private fun choose(registration: Registration, longFull: Boolean) {
        val victim = victim(registration, longFull) ?: return
        victim.keep--
        victim.preemptAskedAtMs = NEVER_MS
    }

    private fun victim(request: Registration, longFull: Boolean): OwnerLease? {
        val lower = leases.all().filter {
            request.tier.isAbove(it.tier) && it.keep > 0 && it.preemptTries < settings.preemptTries
        }
        val useful = if (request.long && longFull) lower.filter { it.long } else lower
        return useful.maxWithOrNull(
            compareBy<OwnerLease> {
                it.tier
            }.thenBy { it.keep > it.inUse }.thenBy { it.grantedAtMs }
        )
    }

    private fun preempt(nowMs: Long, server: BackendServerId, lease: OwnerLease): OwnerOutput {
        lease.preemptAskedAtMs = nowMs
        lease.preemptTries++
        return OwnerOutput(
            to = lease.holder.host,
            message = SlotMessage.Preempt(server = server, lease = lease.id, keep = lease.keep)
        )
    }

    /** Holders don't preempt calls that may not be repeated; their slots are no longer expected. */
    private fun giveUpUnanswered(nowMs: Long) {
        leases.all().forEach {
            val last = it.preemptTries >= settings.preemptTries
            if (last && nowMs - settings.messageRepeatMs >= it.preemptAskedAtMs) it.keep = it.held
        }
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
