package org.hyssoprack.serving.limits

/**
 * Decides when one request with a blocked part is let through to see whether its cause is mended.
 *
 * While such requests keep coming there are at most [MAX_TRIALS] trials, and each counts whether or
 * not its request reaches a server. The fleet's bound is three requests after the fifth crash and
 * 3,000 ms. A part is blocked at the first crash that meets [BlockRule], which is the fifth at the
 * latest if the crashes extend over the least time that the rule asks for. Requests that are at
 * servers at that time end within those 3,000 ms. If all of the crashes fell within the least time,
 * the next one is the first request of the three, the part is blocked by it, and two trials are
 * left. Requests sent beside that one in the time until hosts learn of the block are not bounded.
 *
 * The own part of a request is blocked by its third crash, or by the next one if the first three
 * fell within the least time. That one, one beside it and [MAX_TRIALS_OWN] make its three.
 */
internal class TrialSchedule(private val maxTrials: Int = MAX_TRIALS) {
    var trials = 0
        private set

    private var dueMs = Long.MAX_VALUE
    private var askedMs = 0L

    /** Whether the slot owner said that a trial is due. */
    var isDueByOwner = false

    /** Starts the schedule of a part blocked at [blockedMs]. */
    fun start(blockedMs: Long, nowMs: Long) {
        trials = 0
        dueMs = blockedMs + FIRST_TRIAL_MS
        askedMs = nowMs
        isDueByOwner = false
    }

    /** Applies that another host counted [count] trials. */
    fun raiseTo(count: Int, nowMs: Long) {
        if (count <= trials) return
        trials = count
        dueMs = if (trials < maxTrials) nowMs + SECOND_TRIAL_MS else Long.MAX_VALUE
    }

    /** Records that a request with the part came at [ms]. */
    fun ask(ms: Long) {
        if (ms - askedMs >= PROBATION_MS) dueMs = minOf(dueMs, ms)
        askedMs = maxOf(askedMs, ms)
    }

    fun isDue(nowMs: Long): Boolean = nowMs >= dueMs || isIdle(nowMs)

    /** Whether no request with the part came for so long that it is on probation. */
    fun isIdle(nowMs: Long): Boolean = nowMs - askedMs >= PROBATION_MS

    /** Time since the last request with the part, in milliseconds. */
    fun idleMs(nowMs: Long): Long = nowMs - askedMs

    fun take(nowMs: Long) {
        ask(nowMs)
        trials++
        dueMs = if (trials < maxTrials) nowMs + SECOND_TRIAL_MS else Long.MAX_VALUE
        isDueByOwner = false
    }

    internal companion object {
        const val FIRST_TRIAL_MS = 30_000L
        const val SECOND_TRIAL_MS = 8 * FIRST_TRIAL_MS
        const val MAX_TRIALS = 2
        const val MAX_TRIALS_OWN = 1
        const val PROBATION_MS = 600_000L
    }
}
