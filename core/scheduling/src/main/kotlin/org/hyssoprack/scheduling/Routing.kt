package org.hyssoprack.scheduling

/** Ranks the servers of a request's pool by the pool's routing rule. */
internal class Routing(private val state: EntryState) {
    fun rank(nowMs: Long, entry: EntryRequest): List<FleetServer> {
        val servers = state.servers.ofPool(entry.request.pool)
        return servers.sortedWith(
            compareBy(
                { state.leases.usable(nowMs, it.id, entry.kind) == null },
                { state.leases.of(it.id).sumOf { lease -> lease.inUse }.toDouble() / it.slots }
            )
        )
    }

    fun serviceMs(nowMs: Long, entry: EntryRequest, server: FleetServer): Double = 0.0
}
