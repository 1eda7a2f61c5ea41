package org.hyssoprack.rollout

/**
 * Bounds the number of requests that a new version gets, as a share of all requests of the service.
 * Answers the load that a bad version puts on callers: their number of bad responses is bounded
 * before any of them has arrived.
 *
 * A decider may use only what it has [reserved] in the store. A successor counts all of the
 * reservation as used, so that the sum over all deciders stays within the bound, also while two of
 * them are active.
 *
 * @param total requests of the service since the order.
 * @param exposed requests that the new version got.
 */
class ExposureLimit(private val bounds: RolloutBounds, total: Long = 0, exposed: Long = 0) {
    /** Requests of the service since the order. */
    var total = total
        private set

    /** Requests granted to the new version since the order. */
    var exposed = exposed
        private set

    /** Number of requests to the new version that the stored record permits. */
    var reserved = exposed
        private set

    /** Part of the slack that may be used by now, so that some is left to see later faults. */
    var slackPart = FIRST_SLACK_PART
        private set

    /** Number of requests to the new version that the bounds permit now. */
    val permitted: Long
        get() {
            val slack = bounds.exposeSlack * SLACK_USED * slackPart
            return (bounds.exposeShare * SHARE_USED * total + slack).toLong()
        }

    /** Whether the new version may get one more request. */
    val mayExpose: Boolean get() = exposed < minOf(reserved, permitted)

    /** Records the grant of a slot. A grant counts as exposure even if its request is not sent. */
    fun recordGrant(isNew: Boolean) {
        total++
        if (isNew) exposed++
    }

    /** Permits more of the slack after [share] of the time in which evidence is collected. */
    fun recordElapsed(share: Double) {
        slackPart = (FIRST_SLACK_PART + (1 - FIRST_SLACK_PART) * share).coerceIn(slackPart, 1.0)
    }

    /** Takes a grant to the old version back whose request was not sent. */
    fun recordUnused() {
        if (total > exposed) total--
    }

    /** Returns the reservation to store next; null while enough of the present one is left. */
    fun dueReservation(): Long? {
        if (reserved - exposed > BLOCK / 2) return null
        return minOf(permitted, exposed + BLOCK).takeIf { it > reserved }
    }

    /** Records that a reservation up to [count] was stored. */
    fun recordReserved(count: Long) {
        reserved = maxOf(reserved, count)
    }

    private companion object {
        // The rest is a margin for requests that are counted here and by nobody else, such as
        // retries of the same request.
        const val SHARE_USED = 0.9
        const val SLACK_USED = 0.8

        // Enough requests to detect a version at once of which a quarter of the responses are bad.
        const val FIRST_SLACK_PART = 0.6

        // Requests of one reservation. Small, since a change of the decider uses up the rest of it;
        // at 10 requests per second to the new version it takes a write about once a second.
        const val BLOCK = 16L
    }
}
