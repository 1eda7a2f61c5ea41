package org.hyssoprack.scheduling

/** Ranks servers in turn, regardless of their load. */
internal class RoundRobinRouting : RoutingStrategy {
    private var turn = 0

    override val canWiden = false

    override fun rank(
        nowMs: Long,
        entry: EntryRequest,
        candidates: List<FleetServer>
    ): List<RankedServer> {
        if (candidates.isEmpty()) return emptyList()
        val sorted = candidates.sortedBy { it.id.value }
        val first = turn++ % sorted.size
        val inTurn = sorted.drop(first) + sorted.take(first)
        return inTurn.mapIndexed { index, server -> RankedServer(server, index.toDouble()) }
    }
}
