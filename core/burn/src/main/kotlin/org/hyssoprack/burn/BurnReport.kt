package org.hyssoprack.burn

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.hyssoprack.common.HostId
import org.hyssoprack.common.TierName

/**
 * Use of the error budgets of all tiers, the highest tier first.
 *
 * @property missing addresses of hosts that did not respond; their counts are not included.
 * @property accounts the accounts that missed their objective most, over the middle window.
 * @property points counts over time, for plots.
 */
@Serializable
data class BurnReport(
    val hosts: List<HostId>,
    val missing: List<String>,
    val takenAtMs: Long,
    val tiers: List<TierBurn>,
    val accounts: List<AccountRow>,
    val points: List<BurnPoint>
) {
    /** Returns the report as JSON. */
    fun json(): String = JSON.encodeToString(serializer(), this)

    companion object {
        private const val MAX_ACCOUNTS = 20
        private val JSON = Json { prettyPrint = true }

        /**
         * Returns the report on [snapshot]; the hosts at the addresses [missing] did not respond.
         */
        fun of(snapshot: BurnSnapshot, missing: List<String> = emptyList()): BurnReport {
            val objectives = snapshot.objectives.associate { it.tier to it.objective }
            return BurnReport(
                hosts = snapshot.hosts,
                missing = missing,
                takenAtMs = snapshot.takenAtMs,
                tiers = snapshot.objectives.map { tier(it, snapshot) },
                accounts = accounts(snapshot, objectives),
                points = snapshot.points
            )
        }

        private fun tier(objective: TierObjective, snapshot: BurnSnapshot): TierBurn {
            val windows = BurnWindow.entries.map { window ->
                windowBurn(window, counts(snapshot, objective.tier, window), objective.objective)
            }
            val rates = windows.associate { it.window to it.rate }
            return TierBurn(
                tier = objective.tier,
                objective = objective.objective,
                status = BurnStatus.of(rates, objective.objective),
                windows = windows
            )
        }

        private fun counts(
            snapshot: BurnSnapshot,
            tier: TierName,
            window: BurnWindow
        ): SloOutcomeCounts {
            val fromMs = snapshot.takenAtMs - window.lengthMs
            val lengths = snapshot.points.map { it.lengthMs }.distinct().sorted()
            val isShort = window == BurnWindow.SHORT
            val lengthMs = if (isShort) lengths.firstOrNull() else lengths.lastOrNull()
            return snapshot.points
                .filter { it.tier == tier && it.lengthMs == lengthMs && it.startMs > fromMs }
                .map { it.counts }
                .sum()
        }

        private fun accounts(
            snapshot: BurnSnapshot,
            objectives: Map<TierName, Double>
        ): List<AccountRow> = snapshot.accounts
            .filter { it.window == BurnWindow.MIDDLE && it.counts.missed > 0 }
            .sortedByDescending { it.counts.missed }
            .take(MAX_ACCOUNTS)
            .mapNotNull { account ->
                val objective = objectives[account.key.tier] ?: return@mapNotNull null
                AccountRow(
                    tier = account.key.tier,
                    account = account.key.account,
                    burn = windowBurn(account.window, account.counts, objective)
                )
            }

        private fun windowBurn(window: BurnWindow, counts: SloOutcomeCounts, objective: Double) =
            WindowBurn(
                window = window,
                counts = counts,
                rate = counts.missedShare / (1 - objective),
                mainCause = counts.mainCause?.label
            )
    }
}
