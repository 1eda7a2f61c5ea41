package org.hyssoprack.burn

import kotlinx.serialization.Serializable
import org.hyssoprack.common.HostId

/**
 * Counts of one or more hosts at one point in time.
 *
 * @property takenAtMs when they were taken, in milliseconds since the epoch.
 * @property objectives all tiers, the highest first.
 * @property points counts by tier and time, in short spans for the last minutes and in long ones
 *   for the last hours.
 * @property accounts the client accounts that missed their objective most, for each window.
 */
@Serializable
data class BurnSnapshot(
    val hosts: List<HostId>,
    val takenAtMs: Long,
    val objectives: List<TierObjective>,
    val points: List<BurnPoint>,
    val accounts: List<AccountBurn>
) {
    companion object {
        /** Returns the sum of several hosts' snapshots, or null if there are none. */
        fun merge(snapshots: List<BurnSnapshot>): BurnSnapshot? {
            val latest = snapshots.maxByOrNull { it.takenAtMs } ?: return null
            return BurnSnapshot(
                hosts = snapshots.flatMap { it.hosts }.distinct(),
                takenAtMs = latest.takenAtMs,
                objectives = (latest.objectives + snapshots.flatMap { it.objectives })
                    .distinctBy { it.tier },
                points = points(snapshots.flatMap { it.points }),
                accounts = accounts(snapshots.flatMap { it.accounts })
            )
        }

        private fun points(all: List<BurnPoint>): List<BurnPoint> =
            all.groupBy { it.copy(counts = SloOutcomeCounts()) }
                .map { (span, same) -> span.copy(counts = same.map { it.counts }.sum()) }
                .sortedWith(compareBy({ it.lengthMs }, { it.startMs }))

        private fun accounts(all: List<AccountBurn>): List<AccountBurn> =
            all.groupBy { it.copy(counts = SloOutcomeCounts()) }
                .map { (key, same) -> key.copy(counts = same.map { it.counts }.sum()) }
                .sortedByDescending { it.counts.missed }
    }
}
