package org.hyssoprack.bench.experiment

import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlinx.serialization.Serializable

/** Log-normal lengths in tokens, clamped to [min] and [max]; [sigma] applies to the logarithm. */
@Serializable
data class LengthDistribution(
    val median: Int,
    val sigma: Double = 0.0,
    val min: Int = 1,
    val max: Int
) {
    /** Draws one length from [random]. */
    fun draw(random: Random): Int {
        val length = exp(ln(median.toDouble()) + sigma * random.nextGaussian())
        return length.roundToInt().coerceIn(min, max)
    }

    /** Returns the mean of [MEAN_DRAWS] draws with a fixed seed. */
    fun mean(): Double {
        val random = Random(MEAN_SEED)
        return (1..MEAN_DRAWS).sumOf { draw(random).toDouble() } / MEAN_DRAWS
    }

    private companion object {
        const val MEAN_SEED = 1L
        const val MEAN_DRAWS = 20_000
    }
}
