package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.link.Link
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView
import org.hyssoprack.serving.limits.QuotaLedger
import org.hyssoprack.serving.placement.PeerLoad

/**
 * Shares quotas' use and servers' load with the other hosts, and tells which hosts are heard.
 *
 * @param view the members as probing finds them.
 */
class PeerExchange(
    private val self: HostRef,
    private val link: Link,
    private val view: () -> MemberView,
    private val quotas: () -> QuotaLedger,
    private val pools: ServerPools,
    private val clock: Clock
) {
    private val heard = HashMap<HostId, HeardDigest>()

    private class HeardDigest(val ms: Long, val digest: ServingDigest)

    /** Takes in what a peer says. */
    fun receive(from: HostRef, digest: ServingDigest) {
        heard[from.host] = HeardDigest(clock.nowMs(), digest)
        quotas().learn(from, digest.quotas)
        digest.leaving.forEach { pools.markLeaving(it) }
    }

    /** Tells the peers, and forgets the load of those that are silent; called at intervals. */
    fun exchange() {
        val digest = ServingDigest(
            quotas = quotas().totals(),
            loads = pools.ownLoads(),
            leaving = pools.leaving
        )
        view().live().map { it.ref.host }.filter { it != self.host }.forEach {
            link.send(it, digest)
        }
        pools.setPeers(peerLoads())
    }

    /** Number of hosts that may be serving, this one included. */
    fun hostCount(): Int = known().size + 1

    /** Share of those hosts that are heard, this one included. */
    fun heardShare(): Double {
        val known = known()
        val fresh = known.count { isHeard(it, HEARD_MS) }
        return (fresh + 1.0) / (known.size + 1)
    }

    /**
     * Peers that may be serving. Hosts that have been silent for long are left out only where most
     * are heard, since a host that is cut off must not take the others for gone.
     */
    private fun known(): List<HostId> {
        val peers = view().members.values
            .filter { it.state != MemberState.LEAVING && it.ref.host != self.host }
            .map { it.ref.host }
        val present = peers.filter { isHeard(it, GONE_MS) }
        val isMajority = (present.size + 1) * 2 > peers.size + 1
        return if (isMajority) present else peers
    }

    private fun isHeard(host: HostId, withinMs: Long): Boolean {
        val last = heard[host] ?: return false
        return clock.nowMs() - last.ms <= withinMs
    }

    private fun peerLoads(): Map<BackendServerId, PeerLoad> {
        val sums = HashMap<BackendServerId, PeerLoad>()
        heard.filterKeys { isHeard(it, HEARD_MS) }.values.forEach { last ->
            last.digest.loads.forEach { (server, load) -> sums.merge(server, load, PeerLoad::plus) }
        }
        return sums
    }

    private companion object {
        // Several digests are missing.
        const val HEARD_MS = 1_200L

        // Longer than the restart of a host takes.
        const val GONE_MS = 10_000L
    }
}
