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
    private val ownership: Ownership = RendezvousOwnership(),
    private val isReady: () -> Boolean = { true }
) {
    private var ownerView: MemberView? = null
    private var ownerMs = 0L
    private var wasReady = false
    private var owner: HostId? = null

    private var positionView: MemberView? = null
    private var position = HostPosition(index = 0, count = 1)

    private val unavailableUntilMs = HashMap<HostId, Long>()
    private val unavailableMs = HashMap<HostId, Long>()
    private val unavailableCounts = HashMap<HostId, Int>()

    /** Returns the slot owner: one of the live members with high capacity, chosen by hashing. */
    fun owner(): HostId? {
        val now = view()
        val nowMs = clock.nowMs()
        val isReady = isReady()
        val isCurrent = now === ownerView && isReady == wasReady
        if (isCurrent && nowMs - ownerMs < OWNER_LIFETIME_MS) return owner
        unavailableUntilMs.values.removeIf { it <= nowMs }
        ownerView = now
        ownerMs = nowMs
        wasReady = isReady
        owner = chooseOwner(now)
        return owner
    }

    /**
     * Excludes [host] from the choice of the owner for a time, after it replied that it cannot
     * grant slots now. The member view does not show this: whether a member has settings in force
     * is not known here until it has replied to this host.
     */
    fun markUnavailable(host: HostId) {
        val nowMs = clock.nowMs()
        val isFirst = nowMs - (unavailableMs[host] ?: Long.MIN_VALUE / 2) > UNAVAILABLE_MEMORY_MS
        val times = if (isFirst) 0 else unavailableCounts[host] ?: 0
        unavailableMs[host] = nowMs
        unavailableCounts[host] = times + 1
        unavailableUntilMs[host] =
            nowMs + (UNAVAILABLE_MS shl minOf(times, MAX_UNAVAILABLE_DOUBLINGS))
        ownerView = null
    }

    private fun chooseOwner(now: MemberView): HostId? {
        val ready = now.members.values
            .filter { it.state == MemberState.ALIVE && it.ref.host !in unavailableUntilMs }
            .filter { it.ref.host != self.host || wasReady }
        val settled = ready.filter { clock.epochMs() - it.ref.incarnation.value >= settleMs }
        val candidates = settled.ifEmpty { ready }
        val maxCapacity = candidates.maxOfOrNull { it.capacity } ?: return null
        val strong = candidates.filter {
            it.capacity >= maxCapacity * CAPACITY_SHARE
        }.associateBy { it.ref.host }
        return ownership.owner(MemberView(strong), SLOTS, ANY_DOMAIN)
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

    private companion object {
        // Hosts with at least this share of the highest capacity count as equally suitable.
        const val CAPACITY_SHARE = 0.6

        // The owner is chosen anew at this interval, since hosts pass the settling time without a
        // membership change.
        const val OWNER_LIFETIME_MS = 500L

        // A starting host has its settings after about this time. The time doubles with each
        // repetition, so that a host that cannot reach the store is tried less and less often.
        const val UNAVAILABLE_MS = 500L
        const val MAX_UNAVAILABLE_DOUBLINGS = 4
        const val UNAVAILABLE_MEMORY_MS = 20_000L
        val SLOTS = BackendServerId("slots")
        val ANY_DOMAIN = FailureDomain("")
    }
}
