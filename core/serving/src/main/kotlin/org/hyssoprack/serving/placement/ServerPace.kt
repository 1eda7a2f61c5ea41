package org.hyssoprack.serving.placement

import org.hyssoprack.common.Clock

/**
 * How long work currently takes on a server in relation to its usual time, as the server reports it
 * many times a second. Addresses machines whose speed changes faster than [ServerSpeed] learns.
 * Without a report every factor is exactly 1.
 */
class ServerPace(private val clock: Clock) {
    private val recent = PaceAverage(clock, RECENT_MS)
    private val longer = PaceAverage(clock, LONGER_MS)
    private var reportedMs = 0L

    /** Last reported figure in percent of the usual time; null before the first report. */
    var lastPercent: Int? = null
        private set

    /** Age of the last figure in milliseconds; null before the first report. */
    val ageMs: Long? get() = lastPercent?.let { clock.nowMs() - reportedMs }

    /** Factor on usual times now; 1 once no figure has arrived for a second. */
    val current: Double get() = recent.factor

    /** Factor on usual times over the last seconds. */
    val lasting: Double get() = longer.factor

    /** Records a reported figure: the time that work takes, in percent of the usual time. */
    fun record(percent: Int) {
        val used = percent.coerceIn(ReportedLoad.PACE_PERCENTS)
        val factor = used / PERCENT
        lastPercent = used
        reportedMs = clock.nowMs()
        recent.record(factor)
        longer.record(factor)
    }

    /**
     * Returns the expected time of work that usually takes [usualMs]: at the current pace for the
     * first second, at the lasting pace after it, since figures say little about the time beyond.
     */
    fun expectedMs(usualMs: Double): Double {
        if (lastPercent == null) return usualMs
        val now = current
        val paced = usualMs * now
        if (paced <= RECENT_MS) return paced
        return RECENT_MS + (usualMs - RECENT_MS / now) * lasting
    }

    private companion object {
        const val PERCENT = 100.0

        // The figure changes many times a second, so an older one says nothing of the present.
        const val RECENT_MS = 1_000.0

        // Covers the streams of several seconds whose speed is learned and predicted.
        const val LONGER_MS = 4_000.0
    }
}
