package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.membership.Member
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView
import org.hyssoprack.membership.Ownership
import org.hyssoprack.membership.RendezvousOwnership
import org.hyssoprack.serving.limits.HostPosition

/**
 * The serving hosts in this host's member view, and the choice of the slot owner among them.
 *
 * @param settleMs time after its start for which a host is not chosen if there is another one,
 *   since it lacks the quota usage from before its start, and for which it counts hosts that it
 *   has not heard of yet.
 * @param isReady whether this host can grant slots.
 */
class ServingHosts(
    private val self: HostRef,
    private val view: () -> MemberView,
    private val clock: Clock,
    private val settleMs: Long,
    ownership: Ownership = RendezvousOwnership(),
    isReady: () -> Boolean = { true }
) {
    private val readiness = SteadyReadiness(clock, isReady)
    private val choice =
        OwnerChoice(self, view, clock, settleMs, ownership, readiness::isSteady)

    private var positionView: MemberView? = null
    private var position = HostPosition(index = 0, count = 1)

    /** Returns the slot owner in this host's view; null if there is none. */
    fun owner(): HostId? = choice.owner()

    /**
     * Excludes [host] from the choice of the owner for a time, after it replied that it cannot
     * grant slots now. The member view does not show this: whether a member has settings in force
     * is not known here until it has replied to this host.
     */
    fun markUnavailable(host: HostId) = choice.markUnavailable(host)

    /** Excludes [host] from the choice of the owner until it sends a message again. */
    fun markLost(host: HostId) = choice.markLost(host)

    /** Records a message of [host]. */
    fun heard(host: HostId) = choice.heard(host)

    /** Returns the time since the last message of [host], in milliseconds; null without one. */
    fun silentMs(host: HostId): Long? = choice.silentMs(host)

    /** Follows the owner of [claim] if its term is the highest. */
    internal fun accept(claim: SlotMessage.OwnerClaim) = choice.accept(claim)

    /** Returns the claim of the owner that most hosts use; null if there is none. */
    internal fun heldClaim(): SlotMessage.OwnerClaim? = choice.heldClaim()

    /** Returns this host's claim to be the slot owner; null unless most hosts are [reporting]. */
    internal fun updateOwnClaim(reporting: Set<HostId>): SlotMessage.OwnerClaim? {
        // Most hosts own nothing, and have no reports to count.
        val live = if (reporting.isEmpty()) 0 else hostRefs().count { it.host in reporting }
        return choice.updateOwnClaim(isMajorityReporting = live * 2 > count())
    }

    /** Returns the hosts that may be serving, this one included. */
    fun hostRefs(): Set<HostRef> = view().live().mapTo(hashSetOf(self)) { it.ref }

    /** Returns the number of hosts that may be serving, this one included. */
    fun count(): Int = countedPeers().size + 1 + unseenHosts()

    /** Returns the other hosts that may be serving, in a ring that begins after this host. */
    fun nextHosts(): List<HostId> {
        val peers = countedPeers().map { it.ref.host }.sortedBy { it.value }
        val (after, before) = peers.partition { it.value > self.host.value }
        return after + before
    }

    /** Returns this host's position among the hosts that may be serving. */
    fun position(): HostPosition {
        val now = view()
        if (now !== positionView) {
            positionView = now
            val peers = countedPeers().map { it.ref.host.value }
            val index = peers.count { it < self.host.value }
            position = HostPosition(index = index, count = peers.size + 1)
        }
        return position
    }

    /**
     * Returns the share of the hosts that may be serving, this one included, that are in
     * [reporting]. Every host counts, so that the shares of all owners add up to at most 1.
     */
    fun shareOf(reporting: Set<HostId>): Double {
        val all = countedPeers().map { it.ref.host } + self.host
        return all.count { it in reporting }.toDouble() / (all.size + unseenHosts())
    }

    /**
     * Returns the share of the hosts that may be serving, this one included, for which
     * [isReporting] holds. This host counts like any other: while it uses another owner, its own
     * share belongs to that one.
     *
     * @param isPresent whether a host has reported at all recently. While most hosts are present,
     *   only these are counted.
     */
    fun reportingShare(isReporting: (HostId) -> Boolean, isPresent: (HostId) -> Boolean): Double {
        val all = peers().map { it.ref.host } + self.host
        val count = all.size + unseenHosts()
        val present = all.filter(isPresent)
        if (present.size * 2 > count) return present.count(isReporting).toDouble() / present.size
        return all.count(isReporting).toDouble() / count
    }

    /**
     * Returns the number of registered hosts that this one may not have heard of yet since its own
     * start. Later, a host that was never heard of is gone.
     */
    private fun unseenHosts(): Int {
        val isSettled = clock.epochMs() - self.incarnation.value >= settleMs
        return if (isSettled) 0 else view().unseenHosts
    }

    /**
     * Returns the peers that may be serving. Dead peers are left out only if most are alive, since
     * a partitioned host must not conclude that the others have stopped.
     */
    private fun countedPeers(): List<Member> {
        val peers = peers()
        val live = peers.filter { it.state != MemberState.DEAD }
        return if (isMajority(live.size, peers.size)) live else peers
    }

    private fun peers(): List<Member> = view().members.values
        .filter { it.state != MemberState.LEAVING && it.ref.host != self.host }

    private fun isMajority(part: Int, all: Int): Boolean = (part + 1) * 2 > all + 1
}
