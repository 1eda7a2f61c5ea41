package org.hyssoprack.burn

import org.hyssoprack.common.ResultCode

/**
 * How a request ended, as service-level objectives see it.
 *
 * @property label name in reports.
 * @property counts whether the request counts towards its tier's objective.
 */
enum class SloOutcome(val label: String, val counts: Boolean = true) {
    /** The whole answer was delivered before the deadline. */
    DONE("done in time"),

    /** The answer was delivered after the deadline, or the deadline passed while it ran. */
    LATE("late"),

    /** The request was refused for lack of capacity, or its deadline passed before dispatch. */
    SHED("shed"),

    /** The request was dispatched and its answer broke off or was cancelled for a higher tier. */
    BROKEN("broken"),

    /** Whether the request ran is not known. */
    UNKNOWN("unknown"),

    /** The caller's input was refused. */
    REFUSED_INPUT("refused input", counts = false),

    /** The caller left or went on through another host. */
    ABANDONED("abandoned", counts = false);

    /** True if the request was answered whole and in time. */
    val isGood: Boolean get() = this == DONE

    companion object {
        private const val CODES_PER_FAMILY = 1_000

        /** The ending of a request with [code]; [inTime] matters only for delivered answers. */
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
