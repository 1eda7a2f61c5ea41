package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Chooses leases of lower tiers whose slots are preempted for urgent requests. */
internal class Preemption(
    private val settings: SchedulingSettings,
    private val leases: OwnerLeaseTable
) {
    /** Returns the preemption messages that free slots for the [urgent] registrations. */
    fun outputs(
        nowMs: Long,
        server: BackendServerId,
        urgent: List<Registration>,
        limit: Int,
        longCapReached: () -> Boolean
    ): List<OwnerOutput> {
        giveUpUnanswered(nowMs)
        var expected = (limit - leases.lent).coerceAtLeast(0) + leases.beingFreed
        for (registration in urgent) {
            repeat(registration.urgent) {
                if (expected-- <= 0) choose(registration, longCapReached())
            }
        }
        val due = leases.all().filter {
            it.beingFreed > 0 && nowMs - settings.messageRepeatMs >= it.preemptSentAtMs
        }
        return due.map { preempt(nowMs, server, it) }
    }

    private fun choose(registration: Registration, longCapReached: Boolean) {
        val victim = victim(registration, longCapReached) ?: return
        victim.remaining--
        victim.preemptSentAtMs = NEVER_MS
    }

    private fun victim(request: Registration, longCapReached: Boolean): OwnerLease? {
        val lower = leases.all().filter {
            request.tier.isAbove(it.tier) &&
                it.remaining > 0 &&
                it.preemptAttempts < settings.preemptAttempts
        }
        val useful = if (request.long && longCapReached) lower.filter { it.long } else lower
        return useful.maxWithOrNull(
            compareBy<OwnerLease> {
                it.tier
            }.thenBy { it.remaining > it.inUse }.thenBy { it.grantedAtMs }
        )
    }

    private fun preempt(nowMs: Long, server: BackendServerId, lease: OwnerLease): OwnerOutput {
        lease.preemptSentAtMs = nowMs
        lease.preemptAttempts++
        return OwnerOutput(
            to = lease.holder.host,
            message = SlotMessage.Preempt(
                server = server,
                lease = lease.id,
                remaining = lease.remaining
            )
        )
    }

    /**
     * Stops waiting for slots that were not freed by the last attempt. Holders never preempt calls
     * that may not be repeated.
     */
    private fun giveUpUnanswered(nowMs: Long) {
        leases.all().forEach {
            val last = it.preemptAttempts >= settings.preemptAttempts
            if (last && nowMs - settings.messageRepeatMs >= it.preemptSentAtMs) {
                it.remaining = it.held
            }
        }
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
