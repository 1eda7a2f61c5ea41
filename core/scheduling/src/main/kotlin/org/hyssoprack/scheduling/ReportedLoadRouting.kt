package org.hyssoprack.scheduling

/** Ranks servers by the load that they last reported, however old the report is. */
internal class ReportedLoadRouting(private val speeds: ServerSpeeds) : RoutingStrategy {
    override val canWiden = false

    override fun rank(
        nowMs: Long,
        entry: EntryRequest,
        candidates: List<FleetServer>
    ): List<RankedServer> {
        val ranked = candidates.map { RankedServer(it, speeds.reportedLoad(it.id).toDouble()) }
        return ranked.sortedWith(
            compareBy<RankedServer> { it.costMs }
                .thenBy { RendezvousHash.weight(entry.id.value.hashCode().toLong(), it.server.id) }
        )
    }
}
