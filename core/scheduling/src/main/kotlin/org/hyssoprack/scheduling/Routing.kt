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

    /** Candidates for [entry], the best first; now and then a straggler that is due for a probe. */
    fun rank(nowMs: Long, entry: EntryRequest, servers: EntryServers): List<RankedServer> {
        val strategy = strategy(servers, entry.request.pool)
        val candidates = servers.candidates(entry.request)
        val ranked = strategy.rank(nowMs, entry, candidates)
        if (!strategy.widens || entry.kind.long) return ranked
        val isLowest = servers.isLowest(entry.request.tier)
        val probe = ranked.firstOrNull {
            val digest = speeds.knownDigest(nowMs, it.server.id)?.digest
            digest?.straggling == true && probes.isDue(nowMs, it.server.id, isLowest)
        } ?: return ranked
        probes.sent(nowMs, probe.server.id)
        return listOf(probe.copy(costMs = 0.0)) + (ranked - probe)
    }

    /** Expected time from dispatch to the end of the answer, in milliseconds. */
    fun serviceMs(nowMs: Long, entry: EntryRequest, server: FleetServer): Double =
        cost.serviceMs(nowMs, entry, server)

    /** Forgets what belongs to pools that are gone. */
    fun retain(pools: Set<PoolName>) {
        roundRobin.keys.retainAll(pools)
    }
}
