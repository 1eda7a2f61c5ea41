package org.hyssoprack.rollout

/**
 * The responses of one route, of both versions. A response is bad if it failed or took several times
 * the median time of the old version's recent responses.
 *
 * @param earlier counts of responses that a former decider compared.
 */
internal class RouteResponses(private val earlier: ResponseCounts = ResponseCounts()) {
    private class Entry(val ms: Long, val isNew: Boolean, val isBad: Boolean)

    private val entries = ArrayDeque<Entry>()
    private val oldTimes = HashMap<Measure, RecentTimes>()

    /** Counts of all responses. */
    var counts = earlier
        private set

    /** Records a response at [nowMs]. Returns whether it is bad; null if it shows nothing. */
    fun record(response: VersionResponse, nowMs: Long): Boolean? {
        val isBad = response.isFailed || isSlow(response)
        if (!response.isComplete && !isBad) return null
        if (!response.isNew && !response.isFailed) learn(response)
        counts = counts.with(response.isNew, isBad)
        entries.addLast(Entry(nowMs, response.isNew, isBad))
        if (entries.size > MAX_ENTRIES) entries.removeFirst()
        return isBad
    }

    /**
     * Returns the counts of the responses since [sinceMs], with some earlier ones of the old version
     * if there are hardly any.
     */
    fun countsSince(sinceMs: Long): ResponseCounts {
        var since = ResponseCounts()
        for (entry in entries.asReversed()) {
            val isWithin = entry.ms >= sinceMs
            if (!isWithin && since.old >= MIN_OLD) break
            if (isWithin || !entry.isNew) since = since.with(entry.isNew, entry.isBad)
        }
        return since
    }

    private fun isSlow(response: VersionResponse): Boolean = response.times.any { (measure, time) ->
        val median = oldTimes[measure]?.median()
        median != null && time > SLOW_FACTOR * median + slackOf(measure)
    }

    private fun learn(response: VersionResponse) = response.times.forEach { (measure, time) ->
        oldTimes.getOrPut(measure) { RecentTimes() }.add(time)
    }

    private fun slackOf(measure: Measure) =
        if (measure == Measure.FIRST_EVENT) 0.0 else SLOW_SLACK_MS

    private companion object {
        // Between the usual spread of times and a version that is three times slower.
        const val SLOW_FACTOR = 2.0

        // Scheduling of busy hosts delays short calls by this.
        const val SLOW_SLACK_MS = 20.0
        const val MIN_OLD = 10
        const val MAX_ENTRIES = 2_000
    }
}
