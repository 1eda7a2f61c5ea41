package org.hyssoprack.scheduling

/**
 * Ranks servers by the expected time to a complete answer: the wait for a slot, the prefill of the
 * part of the prompt that is not in the server's prefix cache, and decoding.
 */
internal class CostRouting(
    private val leases: EntryLeaseTable,
    private val speeds: ServerSpeeds,
    private val prefixes: PrefixCaches
) : RoutingStrategy {
    override val canWiden = true

    override fun rank(
        nowMs: Long,
        entry: EntryRequest,
        candidates: List<FleetServer>
    ): List<RankedServer> {
        val home = home(entry, candidates)
        val ranked = candidates.map { RankedServer(it, costMs(nowMs, entry, it, it == home)) }
        return ranked.sortedBy { it.costMs }
    }

    /** Returns the server that all hosts prefer for a prefix that is in no cache yet, or null. */
    private fun home(entry: EntryRequest, candidates: List<FleetServer>): FleetServer? {
        val prefix = entry.request.prefixHash ?: return null
        if (candidates.any { prefixes.holds(it.id, prefix) }) return null
        return candidates.maxByOrNull { RendezvousHash.weight(prefix, it.id) }
    }

    private fun costMs(
        nowMs: Long,
        entry: EntryRequest,
        server: FleetServer,
        isHome: Boolean
    ): Double {
        val serviceMs = serviceMs(nowMs, entry, server)
        val loadMs = utilisation(nowMs, server) * maxOf(serviceMs * LOAD_SHARE, LOAD_MIN_MS)
        val homeMs = if (isHome) serviceMs * HOME_SHARE else 0.0
        val spreadMs = tieBreaker(entry, server) * SPREAD_MS
        return waitMs(nowMs, entry, server) + serviceMs + loadMs - homeMs + spreadMs
    }

    /** Returns the expected time from dispatch to the end of the answer, in milliseconds. */
    fun serviceMs(nowMs: Long, entry: EntryRequest, server: FleetServer): Double {
        val speed = speeds.estimate(nowMs, server)
        val request = entry.request
        val prefillMs = speed.prefillMs(uncachedTokens(entry, server))
        return speed.firstTokenMs + prefillMs + request.completionTokens * speed.tokenMs
    }

    private fun uncachedTokens(entry: EntryRequest, server: FleetServer): Double {
        val prefix = entry.request.prefixHash
        val tokens = entry.request.promptTokens.toDouble()
        if (prefix == null || !prefixes.holds(server.id, prefix)) return tokens
        return tokens * (1 - speeds.cachedShare())
    }

    private fun waitMs(nowMs: Long, entry: EntryRequest, server: FleetServer): Double {
        val received = speeds.recentDigest(nowMs, server.id)
        val stragglingMs = if (received?.digest?.straggling == true) STRAGGLER_MS else 0.0
        if (leases.usable(nowMs, server.id, entry.kind) != null) return stragglingMs
        if (received == null || received.free > 0) return stragglingMs + ROUND_TRIP_MS
        val ahead = received.digest.waiting.take(entry.request.tier.value + 1).sum() + 1
        val slotMs = speeds.meanHoldMs(entry.kind) / received.digest.limit.coerceAtLeast(1)
        return stragglingMs + ROUND_TRIP_MS + ahead * slotMs
    }

    private fun utilisation(nowMs: Long, server: FleetServer): Double {
        val received = speeds.recentDigest(nowMs, server.id)
        val inUse = leases.of(server.id).sumOf { it.inUse }
        if (received == null) return inUse / server.slots.coerceAtLeast(1).toDouble()
        val lent = received.digest.lent + received.lentSince
        return lent / received.digest.limit.coerceAtLeast(1).toDouble()
    }

    /** Returns a pseudo-random tie-breaker from 0 to 1 that spreads requests over equal servers. */
    private fun tieBreaker(entry: EntryRequest, server: FleetServer): Double {
        val weight = RendezvousHash.weight(entry.id.value.hashCode().toLong(), server.id)
        return (weight ushr SPREAD_SHIFT).toDouble() / (1L shl (Long.SIZE_BITS - SPREAD_SHIFT))
    }

    private companion object {
        const val ROUND_TRIP_MS = 3.0
        const val LOAD_SHARE = 0.2
        const val LOAD_MIN_MS = 4.0
        const val HOME_SHARE = 0.05
        const val SPREAD_MS = 2.0
        const val SPREAD_SHIFT = 32
        const val STRAGGLER_MS = 10_000.0
    }
}
