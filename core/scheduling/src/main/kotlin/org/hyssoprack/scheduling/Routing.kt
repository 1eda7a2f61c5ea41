package org.hyssoprack.scheduling

import org.hyssoprack.common.PoolName
import org.hyssoprack.policy.RoutingRule

/** Ranks the servers of a request's pool by the pool's routing rule. */
internal class Routing(
    private val leases: EntryLeaseTable,
    private val speeds: ServerSpeeds,
    prefixes: PrefixCaches
) {
    private val cost = CostRouting(leases, speeds, prefixes)
    private val reportedLoad = ReportedLoadRouting(speeds)
    private val roundRobin = HashMap<PoolName, RoundRobinRouting>()
    private val probes = StragglerProbes()

    fun strategy(servers: EntryServers, pool: PoolName): RoutingStrategy =
        when (servers.pool(pool)?.routing) {
            RoutingRule.ROUND_ROBIN -> roundRobin.getOrPut(pool) { RoundRobinRouting() }
            RoutingRule.LEAST_REPORTED_LOAD -> reportedLoad
            RoutingRule.COST, null -> cost
        }

    /**
     * Ranks the candidates for [entry], the best first. A straggler due for a probe comes first.
     */
    fun rank(nowMs: Long, entry: EntryRequest, servers: EntryServers): List<RankedServer> {
        val strategy = strategy(servers, entry.request.pool)
        val candidates = servers.candidates(entry.request)
        val ranked = strategy.rank(nowMs, entry, candidates)
        if (!strategy.canWiden || entry.kind.long) return ranked
        val isLowest = servers.isLowest(entry.request.tier)
        val probe = ranked.firstOrNull {
            val digest = speeds.recentDigest(nowMs, it.server.id)?.digest
            digest?.straggling == true && probes.isDue(nowMs, it.server.id, isLowest)
        } ?: return ranked
        probes.recordProbe(nowMs, probe.server.id)
        return listOf(probe.copy(costMs = 0.0)) + (ranked - probe)
    }

    /** Returns the expected time from dispatch to the end of the answer, in milliseconds. */
    fun serviceMs(nowMs: Long, entry: EntryRequest, server: FleetServer): Double =
        cost.serviceMs(nowMs, entry, server)

    /** Drops the state of all pools that are not in [pools]. */
    fun retain(pools: Set<PoolName>) {
        roundRobin.keys.retainAll(pools)
    }
}
