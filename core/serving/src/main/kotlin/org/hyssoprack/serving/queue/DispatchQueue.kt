package org.hyssoprack.serving.queue

/**
 * Priority queue of the requests of one service that wait for a slot. Requests whose response has
 * been started come first, since their callers lose what they have received. Then come requests that
 * can still be on time, then the more urgent rank, then the older request. In an overload not all can be
 * on time, and a late response is worth only a part of one on time, whatever its rank. One request
 * of each underserved rank goes ahead, so that no rank starves.
 */
class DispatchQueue {
    private val waiting = ArrayList<QueuedRequest>()
    private val reservations = RankReservations()

    val size: Int get() = waiting.size

    /** Counts [request] as a request for a slot, whether or not it is going to wait. */
    fun recordRequest(request: QueuedRequest, nowMs: Long) =
        reservations.recordRequest(request.rank, nowMs)

    /** Records that [request] was granted a slot, which it is expected to hold for [slotMs]. */
    fun recordGrant(request: QueuedRequest, slotMs: Double, nowMs: Long) =
        reservations.recordGrant(request.rank, slotMs, nowMs)

    fun add(request: QueuedRequest) {
        waiting += request
    }

    fun remove(request: QueuedRequest): Boolean = waiting.remove(request)

    /**
     * Returns the number of waiting requests that would be served before a new one of [rank] that
     * can be on time.
     */
    fun ahead(rank: Int, nowMs: Long): Int {
        val isUnderserved = rank in reservations.underservedRanks(nowMs)
        return waiting.count {
            it.isStarted ||
                it.canBeOnTime(nowMs) &&
                (it.rank == rank || it.rank < rank && !isUnderserved)
        }
    }

    /** Returns the waiting requests in the order in which they should be served. */
    fun ordered(nowMs: Long): List<QueuedRequest> {
        val byRank = waiting.sortedWith(
            compareBy({ !it.isStarted }, { !it.canBeOnTime(nowMs) }, { it.rank }, { it.arrivedMs })
        )
        val preferred = reservations.underservedRanks(nowMs).mapNotNull { rank ->
            byRank.firstOrNull {
                it.rank == rank && !it.isStarted && it.canBeOnTime(nowMs)
            }
        }
        if (preferred.isEmpty()) return byRank
        val (started, others) = byRank.partition { it.isStarted }
        return started + preferred + (others - preferred.toSet())
    }

    /** Removes and returns the requests whose maximum waiting time has passed. */
    fun takeExpired(nowMs: Long): List<QueuedRequest> {
        val expired = waiting.filter { it.giveUpMs <= nowMs }
        waiting.removeAll(expired.toSet())
        return expired
    }
}
