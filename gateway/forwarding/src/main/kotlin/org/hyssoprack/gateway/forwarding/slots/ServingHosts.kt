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

/**
 * The hosts that serve, as this host sees them, and which of them lends slots.
 *
 * @param settleMs time after its start for which a host is not chosen while another one can be, since
 *   it does not know yet what was used before.
 */
class ServingHosts(
    private val self: HostRef,
    private val view: () -> MemberView,
    private val clock: Clock,
    private val settleMs: Long,
    private val ownership: Ownership = RendezvousOwnership()
) {
    private var ownerView: MemberView? = null
    private var ownerMs = 0L
    private var owner: HostId? = null

    private val passedOverUntilMs = HashMap<HostId, Long>()
    private val passedOverMs = HashMap<HostId, Long>()
    private val passOverTimes = HashMap<HostId, Int>()

    /** The host that lends slots: one of the strong ones, by hashing over the live members. */
    fun owner(): HostId? {
        val now = view()
        val nowMs = clock.nowMs()
        if (now === ownerView && nowMs - ownerMs < OWNER_LIFETIME_MS) return owner
        passedOverUntilMs.values.removeIf { it <= nowMs }
        ownerView = now
        ownerMs = nowMs
        owner = chooseOwner(now)
        return owner
    }

    /**
     * [host] has said that it cannot lend slots now, so another one is chosen for a time. Which hosts
     * have settings in force is not known of members that have not spoken to this host.
     */
    fun markUnavailable(host: HostId) {
        val nowMs = clock.nowMs()
        val isFirst = nowMs - (passedOverMs[host] ?: Long.MIN_VALUE / 2) > PASS_OVER_MEMORY_MS
        val times = if (isFirst) 0 else passOverTimes[host] ?: 0
        passedOverMs[host] = nowMs
        passOverTimes[host] = times + 1
        passedOverUntilMs[host] = nowMs + (PASS_OVER_MS shl minOf(times, PASS_OVER_DOUBLINGS))
        ownerView = null
    }

    private fun chooseOwner(now: MemberView): HostId? {
        val ready = now.members.values
            .filter { it.state == MemberState.ALIVE && it.ref.host !in passedOverUntilMs }
        val settled = ready.filter { clock.epochMs() - it.ref.incarnation.value >= settleMs }
        val able = settled.ifEmpty { ready }
        val most = able.maxOfOrNull { it.capacity } ?: return null
        val strong = able.filter { it.capacity >= most * STRONG_SHARE }.associateBy { it.ref.host }
        return ownership.owner(MemberView(strong), SLOTS, ANY_DOMAIN)
    }

    /** Runs of the hosts that may be serving, this one included. */
    fun runs(): Set<HostRef> = view().live().mapTo(hashSetOf(self)) { it.ref }

    /** Number of hosts that may be serving, this one included. */
    fun count(): Int = known().size + 1

    /**
     * Share of the hosts that may be serving, this one included, of which [isHeard] holds. This host
     * counts like any other: while it asks another owner, its own part is kept there.
     *
     * @param isPresent whether a host was heard at all lately.
     */
    fun reportingShare(isHeard: (HostId) -> Boolean, isPresent: (HostId) -> Boolean): Double {
        val all = peers().map { it.ref.host } + self.host
        val present = all.filter(isPresent)
        val known = if (present.size * 2 > all.size) present else all
        return known.count(isHeard).toDouble() / known.size
    }

    /**
     * Peers that may be serving. Those that are gone are left out only where most are there, since a
     * host that is cut off must not take the others for gone.
     */
    private fun known(): List<Member> {
        val peers = peers()
        val live = peers.filter { it.state != MemberState.DEAD }
        return if (isMajority(live.size, peers.size)) live else peers
    }

    private fun peers(): List<Member> = view().members.values
        .filter { it.state != MemberState.LEAVING && it.ref.host != self.host }

    private fun isMajority(part: Int, all: Int): Boolean = (part + 1) * 2 > all + 1

    private companion object {
        // Hosts within this part of the strongest one's capacity are as good as it is.
        const val STRONG_SHARE = 0.6

        // Hosts settle with time, without a change of the members.
        const val OWNER_LIFETIME_MS = 500L

        // A host that starts has its settings in about this time; one that is cut off from the store
        // is asked less and less often.
        const val PASS_OVER_MS = 500L
        const val PASS_OVER_DOUBLINGS = 4
        const val PASS_OVER_MEMORY_MS = 20_000L
        val SLOTS = BackendServerId("slots")
        val ANY_DOMAIN = FailureDomain("")
    }
}
