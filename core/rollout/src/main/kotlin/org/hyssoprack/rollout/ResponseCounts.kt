package org.hyssoprack.rollout

import kotlin.math.ln
import kotlin.math.sqrt
import kotlinx.serialization.Serializable

/** Numbers of responses, and of bad ones among them, of the new and of the old version. */
@Serializable
data class ResponseCounts(
    val new: Int = 0,
    val newBad: Int = 0,
    val old: Int = 0,
    val oldBad: Int = 0
) {
    operator fun plus(other: ResponseCounts) = ResponseCounts(
        new = new + other.new,
        newBad = newBad + other.newBad,
        old = old + other.old,
        oldBad = oldBad + other.oldBad
    )

    /** Returns these counts with one more response. */
    fun with(isNew: Boolean, isBad: Boolean): ResponseCounts {
        val bad = if (isBad) 1 else 0
        return if (isNew) {
            copy(new = new + 1, newBad = newBad + bad)
        } else {
            copy(old = old + 1, oldBad = oldBad + bad)
        }
    }

    /**
     * Upper estimate of the share of bad responses that the old version gives: one standard error
     * above the mean, with a few assumed responses in case that there are hardly any.
     */
    val expectedBadShare: Double
        get() {
            val count = old + ASSUMED
            val share = (oldBad + ASSUMED * ASSUMED_SHARE) / count
            val error = sqrt(share * (1 - share) / count)
            return (share + error).coerceIn(MIN_SHARE, MAX_SHARE)
        }

    internal companion object {
        private const val ASSUMED = 4.0
        private const val ASSUMED_SHARE = 0.3
        private const val MIN_SHARE = 0.04
        private const val MAX_SHARE = 0.98

        /**
         * Returns the log-likelihood ratio of the observed share of [bad] among [count] responses
         * against the [expected] share; 0 if the observed share is not higher.
         */
        fun evidence(count: Int, bad: Int, expected: Double): Double {
            if (count == 0) return 0.0
            val share = bad.toDouble() / count
            if (share <= expected) return 0.0
            val good = if (share < 1) (1 - share) * ln((1 - share) / (1 - expected)) else 0.0
            return count * (share * ln(share / expected) + good)
        }
    }
}
