package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Generation

/**
 * Speed and load of the backend servers as an entry host estimates them: from its own measurements,
 * from the owners' digests, or else from the mean of the server's generation.
 */
internal class ServerSpeeds {
    private val meters = HashMap<BackendServerId, SpeedMeter>()
    private val generations = HashMap<Generation, SpeedMeter>()
    private val samples = HashMap<BackendServerId, SampleAccumulator>()
    private val digests = HashMap<BackendServerId, ReceivedDigest>()
    private val holdMs = HashMap<Boolean, Ewma>()
    private val cachedShare = Ewma(SpeedMeter.WEIGHT)

    fun digest(nowMs: Long, server: BackendServerId, digest: ServerDigest) {
        digests[server] = ReceivedDigest(digest, nowMs)
    }

    /** Counts [count] slots that the owner of [server] lent to this host. */
    fun recordGrant(server: BackendServerId, count: Int) {
        digests[server]?.let { it.lentSince += count }
    }

    /** Returns the digest of [server], or null if it is missing or too old. */
    fun recentDigest(nowMs: Long, server: BackendServerId): ReceivedDigest? =
        digests[server]?.takeIf { nowMs - it.receivedAtMs <= DIGEST_TERM_MS }

    fun reportedLoad(server: BackendServerId): Int = digests[server]?.digest?.reportedLoad ?: 0

    fun estimate(nowMs: Long, server: FleetServer): SpeedEstimate {
        val own = meters[server.id]
        val isRecent = own != null && nowMs - own.measuredAtMs <= DIGEST_TERM_MS
        if (isRecent && own.count >= MIN_MEASUREMENTS) return own.estimate()
        val digest = recentDigest(nowMs, server.id)?.digest
        if (digest != null && digest.firstTokenMs + digest.tokenMs > 0) return digest.toEstimate()
        if (own != null && own.count >= MIN_MEASUREMENTS) return own.estimate()
        return generations[server.generation]?.estimate() ?: SpeedEstimate()
    }

    /** Returns true if this host or the owner of [server] measured its speed recently. */
    fun isFresh(nowMs: Long, server: FleetServer): Boolean {
        val own = meters[server.id]
        if (own != null && nowMs - own.measuredAtMs <= DIGEST_TERM_MS) return true
        val digest = recentDigest(nowMs, server.id)?.digest ?: return false
        return digest.firstTokenMs + digest.tokenMs + digest.prefillTokensPerMs > 0
    }

    /** Returns the expected share of a prompt that is cached if its prefix is. */
    fun cachedShare(): Double = cachedShare.value ?: DEFAULT_CACHED_SHARE

    fun recordMeasurement(nowMs: Long, server: FleetServer, report: FinishReport) {
        samples.getOrPut(server.id) { SampleAccumulator() }.add(report)
        if (report.failed) return
        val own = meters.getOrPut(server.id) { SpeedMeter() }
        val generation = generations.getOrPut(server.generation) { SpeedMeter(GENERATION_WEIGHT) }
        listOf(own, generation).forEach { meter ->
            val uncached = report.promptTokens - report.cachedTokens
            report.firstTokenMs?.let { meter.addFirstToken(nowMs, it.toDouble(), uncached) }
            report.tokenMs?.let { meter.addTokenMs(nowMs, it) }
        }
        if (report.cachedTokens > 0) {
            cachedShare.add(report.cachedTokens / report.promptTokens.coerceAtLeast(1).toDouble())
        }
    }

    /** Adds the time for which a request held its slot. */
    fun recordHoldTime(long: Boolean, durationMs: Long) {
        holdMs.getOrPut(long) { Ewma(SpeedMeter.WEIGHT) }.add(durationMs.toDouble())
    }

    fun meanHoldMs(kind: SlotKind): Double = holdMs[kind.long]?.value ?: DEFAULT_HOLD_MS

    fun takeSample(server: BackendServerId): ServerSample? = samples[server]?.take()

    fun retain(servers: Set<BackendServerId>) {
        meters.keys.retainAll(servers)
        samples.keys.retainAll(servers)
        digests.keys.retainAll(servers)
    }

    private fun ServerDigest.toEstimate(): SpeedEstimate = SpeedEstimate(
        firstTokenMs = firstTokenMs,
        tokenMs = tokenMs,
        prefillTokensPerMs = prefillTokensPerMs
    )

    private companion object {
        const val DIGEST_TERM_MS = 3_000L
        const val MIN_MEASUREMENTS = 3
        const val GENERATION_WEIGHT = 0.02
        const val DEFAULT_CACHED_SHARE = 0.8
        const val DEFAULT_HOLD_MS = 1_000.0
    }
}
