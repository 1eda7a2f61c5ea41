package org.hyssoprack.scheduling

/** Takes the server that reported the least load, however old the report is. */
internal class ReportedLoadRouting(private val speeds: ServerSpeeds) : RoutingStrategy {
    override val widens = false

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
