package org.hyssoprack.bench.report

import kotlinx.serialization.Serializable
import org.hyssoprack.bench.analysis.Inversion
import org.hyssoprack.bench.analysis.PrefillCount

/**
 * Result of one variant of an experiment.
 *
 * @property servedShare work of the good answers that ended in the counted time, as a share of what
 *   the fleet can do in that time.
 * @property inversions shed requests with a lower tier in a slot; the margins of time measure how
 *   long it had held the slot and went on holding it.
 * @property sustainedInversions those that lasted [SUSTAINED_MS] to either side.
 * @property runTwice requests that began on engines more than once.
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
    /** The report of one tier, or null. */
    fun tier(name: String): TierReport? = tiers.firstOrNull { it.tier == name }

    companion object {
        /** Margin of time, in milliseconds, that messages between hosts may take. */
        const val SUSTAINED_MS = 100L
    }
}
