package org.hyssoprack.bench.report

import kotlinx.serialization.Serializable
import org.hyssoprack.bench.analysis.Inversion
import org.hyssoprack.bench.analysis.PrefillCount

/**
 * Result of one variant of an experiment.
 *
 * @property servedShare work of the good responses that ended in the counted time, as a share of
 *   the fleet capacity in that time.
 * @property inversions number of requests shed while a lower-tier request held a slot.
 * @property sustainedInversions number of inversions in which the slot was held for at least
 *   [SUSTAINED_MS] both before and after the rejection.
 * @property runTwice number of requests that started on engines more than once.
 */
@Serializable
data class VariantReport(
    val variant: String,
    val tiers: List<TierReport>,
    val servedShare: Double,
    val prefill: PrefillCount,
    val inversions: Int,
    val sustainedInversions: Int,
    val firstInversions: List<Inversion>,
    val runTwice: Int,
    val hostCpuMs: Map<String, Long>
) {
    /** Returns the report of tier [name], or null if there is none. */
    fun tier(name: String): TierReport? = tiers.firstOrNull { it.tier == name }

    companion object {
        /** Minimum time in milliseconds; allows for the delivery of messages between hosts. */
        const val SUSTAINED_MS = 100L
    }
}
