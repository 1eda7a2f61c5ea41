package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.Ownership

/**
 * Chooses the slot owner. Load addressed: any amount of it, since late probes, late replies and late
 * settings of a host that sends messages at all do not change the choice.
 *
 * An owner that most hosts report to claims the ownership with a term, which is higher than any
 * before. A host keeps the owner with the highest term until that one is gone, says that it leaves
 * or cannot grant slots, or is lost (see [OwnerLossDetector]). Only without a claim does a host
 * choose by hashing over the live members. At most one owner has the reports of most hosts, so all
 * hosts get to one owner by one message from it.
 *
 * @param isReady whether this host can grant slots.
 */
internal class OwnerChoice(
    private val self: HostRef,
    private val view: () -> MemberView,
    private val clock: Clock,
    private val settleMs: Long,
    private val ownership: Ownership,
    private val isReady: () -> Boolean
) {
    private val unavailable = UnavailableHosts(clock)
    private val heardMs = HashMap<HostId, Long>()
    private val lost = HashSet<HostId>()
    private var claim: SlotMessage.OwnerClaim? = null
    private var highestTerm = 0L
    private var hashed: HostId? = null
    private var hashedView: MemberView? = null
    private var hashedMs = 0L
    private var wasReady = false

    /** Returns the slot owner in this host's view; null if there is none. */
    fun owner(): HostId? = heldClaim()?.owner?.host ?: hashedOwner()

    /** Returns the claim that this host follows; null without one. */
    fun heldClaim(): SlotMessage.OwnerClaim? {
        val held = claim ?: return null
        if (!isUsable(held.owner)) claim = null
        return claim
    }

    /** Follows [other] if its term is higher than that of the claim in use. */
    fun accept(other: SlotMessage.OwnerClaim) {
        highestTerm = maxOf(highestTerm, other.term)
        val held = heldClaim()
        if (other.term == NO_TERM) {
            if (held?.owner == other.owner) claim = null
            return
        }
        val isHigher = held == null || ORDER.compare(other, held) > 0
        if (isHigher && isUsable(other.owner)) claim = other
    }

    /**
     * Claims the ownership for this host while most hosts report to it, and gives the claim up when
     * they do not. Returns this host's claim, or null without one.
     */
    fun updateOwnClaim(isMajorityReporting: Boolean): SlotMessage.OwnerClaim? {
        val held = heldClaim()
        if (held != null && held.owner != self) return null
        if (!isMajorityReporting || !isReady()) {
            claim = null
        } else if (held == null) {
            claim = SlotMessage.OwnerClaim(self, ++highestTerm)
        }
        return claim
    }

    /** Records a message of [host], which therefore is neither lost nor dead. */
    fun heard(host: HostId) {
        heardMs[host] = clock.nowMs()
        if (lost.remove(host)) hashedView = null
    }

    /** Returns the time since the last message of [host], in milliseconds; null without one. */
    fun silentMs(host: HostId): Long? = heardMs[host]?.let { clock.nowMs() - it }

    /** Excludes [host], which sends nothing to several hosts, until it sends a message again. */
    fun markLost(host: HostId) {
        lost += host
        hashedView = null
    }

    /** Excludes [host] for a time, after it replied that it cannot grant slots now. */
    fun markUnavailable(host: HostId) {
        unavailable.mark(host)
        hashedView = null
    }

    private fun isUsable(owner: HostRef): Boolean {
        val member = view().members[owner.host] ?: return false
        if (member.ref != owner || member.state == MemberState.LEAVING) return false
        if (owner.host in lost || owner.host in unavailable) return false
        if (owner == self) return isReady()
        // Probes of a host under load are late for longer than messages from it.
        return member.state != MemberState.DEAD || isHeard(owner.host)
    }

    private fun isHeard(host: HostId): Boolean =
        silentMs(host).let { it != null && it <= OwnerContact.LOST_MS }

    private fun hashedOwner(): HostId? {
        val now = view()
        val nowMs = clock.nowMs()
        val isReady = isReady()
        val isCurrent = now === hashedView && isReady == wasReady
        if (isCurrent && nowMs - hashedMs < HASHED_LIFETIME_MS) return hashed
        hashedView = now
        hashedMs = nowMs
        wasReady = isReady
        hashed = highestHash(now)
        return hashed
    }

    private fun highestHash(now: MemberView): HostId? {
        val ready = now.members.values
            .filter { it.state == MemberState.ALIVE || isSuspectedOwner(it) }
            .filter { it.ref.host !in unavailable && it.ref.host !in lost }
            .filter { it.ref.host != self.host || wasReady }
        val settled = ready.filter { clock.epochMs() - it.ref.incarnation.value >= settleMs }
        val candidates = settled.ifEmpty { ready }
        val maxCapacity = candidates.maxOfOrNull { it.capacity } ?: return null
        val strong = candidates.filter {
            it.capacity >= maxCapacity * CAPACITY_SHARE
        }.associateBy { it.ref.host }
        return ownership.owner(MemberView(strong), SLOTS, ANY_DOMAIN)
    }

    // Suspicion of a host under load passes, and would change the owner twice.
    private fun isSuspectedOwner(member: Member): Boolean =
        member.state == MemberState.SUSPECT && member.ref.host == hashed

    companion object {
        /** Term of an owner that most hosts do not report to. */
        const val NO_TERM = 0L

        // Two hosts may claim the same term if neither has heard of the other.
        private val ORDER = compareBy<SlotMessage.OwnerClaim>({ it.term }, { it.owner.host.value })

        // Hosts with at least this share of the highest capacity count as equally suitable.
        private const val CAPACITY_SHARE = 0.6

        // The owner is hashed anew at this interval, since hosts pass the settling time without a
        // membership change.
        private const val HASHED_LIFETIME_MS = 500L
        private val SLOTS = BackendServerId("slots")
        private val ANY_DOMAIN = FailureDomain("")
    }
}
