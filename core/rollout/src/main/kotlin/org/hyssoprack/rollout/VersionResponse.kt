package org.hyssoprack.rollout

import org.hyssoprack.common.RouteName

/**
 * What a response shows about the version of the server that gave it.
 *
 * @property route null from hosts that do not tell it.
 * @property isEnd whether it is the end of a stream whose first event was recorded before. The two are
 *   compared separately, so that one does not dilute the other.
 * @property isComplete whether the response has ended; otherwise the times are lower bounds.
 */
class VersionResponse(
    val route: RouteName?,
    val isNew: Boolean,
    val isFailed: Boolean = false,
    val isEnd: Boolean = false,
    val isComplete: Boolean = true,
    val times: Map<Measure, Double> = emptyMap()
) {
    /** Key of the responses that it is compared with. */
    internal val key: String get() = route?.value.orEmpty() + if (isEnd) END_SUFFIX else ""

    /** Returns what remains if times are not compared. */
    internal fun withoutTimes() = VersionResponse(route, isNew, isFailed, isEnd, isComplete)

    companion object {
        private const val END_SUFFIX = ":end"

        // Speeds of an average engine. Only the ratio between two versions matters.
        private const val FIXED_MS = 12.0
        private const val PREFILL_MS = 0.02

        /** Returns the [Measure.FIRST_EVENT] of a stream with [promptTokens] tokens to read. */
        fun firstEvent(firstMs: Long, promptTokens: Int): Double =
            firstMs / (FIXED_MS + promptTokens * PREFILL_MS)
    }
}
