package org.hyssoprack.burn

import org.hyssoprack.common.ResultCode

/**
 * Outcome of a request as counted for service-level objectives.
 *
 * @property label name in reports.
 * @property isCounted whether the request counts towards its tier's objective.
 */
enum class SloOutcome(val label: String, val isCounted: Boolean = true) {
    /** The complete response was delivered before the deadline. */
    DONE("done in time"),

    /**
     * The response was delivered after the deadline, or the deadline passed while the request ran.
     */
    LATE("late"),

    /** The request was refused for lack of capacity, or its deadline passed before dispatch. */
    SHED("shed"),

    /**
     * The request was dispatched, but the backend server failed, its response was lost or
     * mismatched, or a higher tier preempted it.
     */
    BROKEN("broken"),

    /** It is unknown whether the request ran. */
    UNKNOWN("unknown"),

    /** The request was refused for its key, path, headers or body, or no route matches it. */
    REFUSED_INPUT("refused input", isCounted = false),

    /** The caller disconnected or retried through another host. */
    ABANDONED("abandoned", isCounted = false);

    /** True if the response was complete and in time. */
    val meetsObjective: Boolean get() = this == DONE

    companion object {
        private const val CODES_PER_FAMILY = 1_000

        /**
         * Returns the outcome of a request with [code]; [inTime] matters only for delivered
         * responses.
         */
        fun of(code: ResultCode, inTime: Boolean): SloOutcome = when (code) {
            ResultCode.GIVEN_UP, ResultCode.CALLER_LEFT, ResultCode.CALLER_LEFT_RUNNING -> ABANDONED

            ResultCode.DEADLINE_PASSED_RUNNING -> LATE

            ResultCode.FIRST_ATTEMPT_UNKNOWN, ResultCode.CLAIMED_BY_OTHER -> UNKNOWN

            else -> ofFamily(code.number / CODES_PER_FAMILY, inTime)
        }

        private fun ofFamily(family: Int, inTime: Boolean): SloOutcome = when (family) {
            1 -> if (inTime) DONE else LATE
            2 -> SHED
            3 -> BROKEN
            4 -> REFUSED_INPUT
            else -> UNKNOWN
        }
    }
}
