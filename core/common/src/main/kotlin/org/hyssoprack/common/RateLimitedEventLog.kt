package org.hyssoprack.common

/**
 * [EventLog] that writes at most [perSecond] events per second, and routine events only within
 * [ROUTINE_PERCENT] of that. The number of dropped events is logged before the first event of a
 * later second.
 */
class RateLimitedEventLog(
    private val target: EventLog,
    private val clock: Clock,
    private val perSecond: Int
) : EventLog {
    private val routineLimit = perSecond * ROUTINE_PERCENT / 100
    private var second = 0L
    private var written = 0
    private var dropped = 0
    private var droppedRoutine = 0

    @Synchronized
    override fun event(name: String, vararg fields: LogField) {
        if (tryAcquire(perSecond)) target.event(name, *fields) else dropped++
    }

    @Synchronized
    override fun routine(name: String, vararg fields: LogField) {
        if (tryAcquire(routineLimit)) target.routine(name, *fields) else droppedRoutine++
    }

    /** Counts an event as written, unless [limit] events have been written in this second. */
    private fun tryAcquire(limit: Int): Boolean {
        val now = clock.nowMs() / MS_PER_S
        if (now != second) startSecond(now)
        if (written >= limit) return false
        written++
        return true
    }

    private fun startSecond(now: Long) {
        second = now
        written = 0
        val total = dropped + droppedRoutine
        if (total == 0) return
        target.event("log-events-dropped", "count" eq total, "routine" eq droppedRoutine)
        dropped = 0
        droppedRoutine = 0
    }

    private companion object {
        const val MS_PER_S = 1_000L

        /** Share of the limit that routine events may use; the rest is left for other events. */
        const val ROUTINE_PERCENT = 67
    }
}
