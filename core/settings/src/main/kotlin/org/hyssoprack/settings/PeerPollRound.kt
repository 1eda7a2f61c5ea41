package org.hyssoprack.settings

import org.hyssoprack.common.HostId

/** One round of questions to [asked] peers, sent at [askedAtMs]. */
internal class PeerPollRound(
    val sequence: Long,
    val askedAtMs: Long,
    private val asked: Set<HostId>
) {
    private val answered = HashSet<HostId>()
    private val witnesses = HashSet<HostId>()

    fun answer(peer: HostId, settled: Boolean) {
        if (peer !in asked) return
        answered += peer
        if (settled) witnesses += peer
    }

    /** True once no further answer can come. */
    fun isComplete(): Boolean = answered.size == asked.size

    /** True if at least half of the peers answered. */
    fun hasContact(): Boolean = asked.isNotEmpty() && answered.size * 2 >= asked.size

    /** True if at least half of the peers answered and count as witnesses. */
    fun hasWitnesses(): Boolean = asked.isNotEmpty() && witnesses.size * 2 >= asked.size
}
