package org.hyssoprack.burn

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.TierName

/** Counts request outcomes on one host over the last six hours. Thread-safe. */
class BurnTracker(private val clock: Clock) {
    private val fine = BucketRing(FINE_MS, size = FINE_BUCKETS, maxKeys = MAX_KEYS)
    private val coarse = BucketRing(COARSE_MS, size = COARSE_BUCKETS, maxKeys = MAX_KEYS)

    /** Counts one request of [account] in [tier]. */
    @Synchronized
    fun record(tier: TierName, account: ClientAccount, outcome: SloOutcome) {
        val key = BurnKey(tier = tier, account = account)
        val nowMs = clock.epochMs()
        fine.add(key, outcome, nowMs)
        coarse.add(key, outcome, nowMs)
    }

    /** Returns the current counts; [objectives] lists the tiers, the highest first. */
    @Synchronized
    fun snapshot(host: HostId, objectives: List<TierObjective>): BurnSnapshot {
        val nowMs = clock.epochMs()
        return BurnSnapshot(
            hosts = listOf(host),
            takenAtMs = nowMs,
            objectives = objectives,
            points = points(fine.since(nowMs - BurnWindow.SHORT.lengthMs), FINE_MS) +
                points(coarse.since(nowMs - BurnWindow.LONG.lengthMs), COARSE_MS),
            accounts = BurnWindow.entries.flatMap { accounts(it, nowMs) }
        )
    }

    private fun points(buckets: List<BurnBucket>, lengthMs: Long): List<BurnPoint> =
        buckets.flatMap { bucket ->
            bucket.counts().entries.groupBy({ it.key.tier }, { it.value }).map { (tier, counts) ->
                BurnPoint(
                    tier = tier,
                    startMs = bucket.startMs,
                    lengthMs = lengthMs,
                    counts = counts.sum()
                )
            }
        }

    private fun accounts(window: BurnWindow, nowMs: Long): List<AccountBurn> {
        val ring = if (window == BurnWindow.SHORT) fine else coarse
        val sums = HashMap<BurnKey, SloOutcomeCounts>()
        for (bucket in ring.since(nowMs - window.lengthMs)) {
            for ((key, counts) in bucket.counts()) {
                sums.merge(key, counts) { sum, more -> sum + more }
            }
        }
        return sums.map { AccountBurn(key = it.key, window = window, counts = it.value) }
            .sortedByDescending { it.counts.missed }
            .take(MAX_KEYS)
    }

    private companion object {
        const val FINE_MS = 10_000L
        const val FINE_BUCKETS = 31
        const val COARSE_MS = 300_000L
        const val COARSE_BUCKETS = 73
        const val MAX_KEYS = 200
    }
}
