package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Generation

/**
 * What an entry host knows of the speed and load of the backend servers: its own measurements, the
 * owners' digests, and for servers that it does not know the mean of their generation.
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

    /** Notes that the owner of [server] lent [count] slots to this host. */
    fun lent(server: BackendServerId, count: Int) {
        digests[server]?.let { it.lentSince += count }
    }

    /** The digest of [server] if it is not too old, or null. */
    fun knownDigest(nowMs: Long, server: BackendServerId): ReceivedDigest? =
        digests[server]?.takeIf { nowMs - it.receivedAtMs <= DIGEST_TERM_MS }

    fun reportedLoad(server: BackendServerId): Int = digests[server]?.digest?.reportedLoad ?: 0

    fun estimate(nowMs: Long, server: FleetServer): SpeedEstimate {
        val own = meters[server.id]
        val isRecent = own != null && nowMs - own.measuredAtMs <= DIGEST_TERM_MS
        if (isRecent && own.count >= ENOUGH_COUNT) return own.estimate()
        val digest = knownDigest(nowMs, server.id)?.digest
        if (digest != null && digest.firstTokenMs + digest.tokenMs > 0) return digest.toEstimate()
        if (own != null && own.count >= ENOUGH_COUNT) return own.estimate()
        return generations[server.generation]?.estimate() ?: SpeedEstimate()
    }

    /** True if the speed of [server] was measured lately, here or by its owner. */
    fun isFresh(nowMs: Long, server: FleetServer): Boolean {
        val own = meters[server.id]
        if (own != null && nowMs - own.measuredAtMs <= DIGEST_TERM_MS) return true
        val digest = knownDigest(nowMs, server.id)?.digest ?: return false
        return digest.firstTokenMs + digest.tokenMs + digest.prefillTokensPerMs > 0
    }

    /** Share of a prompt that is met from the cache when its prefix is there. */
    fun cachedShare(): Double = cachedShare.value ?: FIRST_CACHED_SHARE

    fun measured(nowMs: Long, server: FleetServer, report: FinishReport) {
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

    /** Notes that a request held its slot for [durationMs]. */
    fun held(long: Boolean, durationMs: Long) {
        holdMs.getOrPut(long) { Ewma(SpeedMeter.WEIGHT) }.add(durationMs.toDouble())
    }

    fun meanHoldMs(kind: SlotKind): Double = holdMs[kind.long]?.value ?: FIRST_HOLD_MS

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
        const val ENOUGH_COUNT = 3
        const val GENERATION_WEIGHT = 0.02
        const val FIRST_CACHED_SHARE = 0.8
        const val FIRST_HOLD_MS = 1_000.0
    }
}
