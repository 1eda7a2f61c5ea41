package org.hyssoprack.common

/**
 * [EventLog] that writes at most [perSecond] events per second. The number of dropped events is
 * logged before the first event of a later second.
 */
class RateLimitedEventLog(
    private val target: EventLog,
    private val clock: Clock,
    private val perSecond: Int
) : EventLog {
    private var second = 0L
    private var written = 0
    private var dropped = 0

    @Synchronized
    override fun event(name: String, vararg fields: LogField) {
        val now = clock.nowMs() / MS_PER_S
        if (now != second) startSecond(now)
        if (written >= perSecond) {
            dropped++
            return
        }
        written++
        target.event(name, *fields)
    }

    private fun startSecond(now: Long) {
        second = now
        written = 0
        if (dropped == 0) return
        target.event("log-events-dropped", "count" eq dropped)
        dropped = 0
    }

    private companion object {
        const val MS_PER_S = 1_000L
    }
}
