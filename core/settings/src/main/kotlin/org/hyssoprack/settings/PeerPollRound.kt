package org.hyssoprack.settings

import org.hyssoprack.common.HostId

/** One round of state requests to the [asked] peers, sent at [askedAtMs]. */
internal class PeerPollRound(
    val sequence: Long,
    val askedAtMs: Long,
    private val asked: Set<HostId>
) {
    private val answered = HashSet<HostId>()
    private val settledPeers = HashSet<HostId>()

    fun answer(peer: HostId, settled: Boolean) {
        if (peer !in asked) return
        answered += peer
        if (settled) settledPeers += peer
    }

    /** True once all asked peers have answered. */
    fun isComplete(): Boolean = answered.size == asked.size

    /** True if at least half of the peers answered. */
    fun hasHalfAnswered(): Boolean = asked.isNotEmpty() && answered.size * 2 >= asked.size

    /** True if at least half of the peers answered that they are settled. */
    fun hasHalfSettled(): Boolean = asked.isNotEmpty() && settledPeers.size * 2 >= asked.size
}
