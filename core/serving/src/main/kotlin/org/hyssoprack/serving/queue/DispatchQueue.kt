package org.hyssoprack.serving.queue

/**
 * Orders the requests of one service that wait for a slot: those that can still be in time first,
 * among these the urgent ranks, and within a rank the oldest. Answers overload in which not all can
 * be in time: a late answer is worth a part of one in time, whatever its rank. One request of each
 * rank that is owed a slot goes ahead, so that no rank starves.
 */
class DispatchQueue {
    private val waiting = ArrayList<QueuedRequest>()
    private val shares = RankReservations()

    val size: Int get() = waiting.size

    /** Notes that [request] asks for a slot, whether or not it is going to wait. */
    fun asked(request: QueuedRequest, nowMs: Long) = shares.asked(request.rank, nowMs)

    /** Notes that [request] has a slot that it is expected to hold for [slotMs]. */
    fun granted(request: QueuedRequest, slotMs: Double, nowMs: Long) =
        shares.granted(request.rank, slotMs, nowMs)

    fun add(request: QueuedRequest) {
        waiting += request
    }

    fun remove(request: QueuedRequest): Boolean = waiting.remove(request)

    /** Number of waiting requests that would be served before a new one of [rank] that is in time. */
    fun ahead(rank: Int, nowMs: Long): Int {
        val isOwed = rank in shares.underservedRanks(nowMs)
        return waiting.count {
            it.isInTime(nowMs) && (it.rank == rank || it.rank < rank && !isOwed)
        }
    }

    /** Waiting requests in the order in which they should be served. */
    fun ordered(nowMs: Long): List<QueuedRequest> {
        val byRank = waiting.sortedWith(
            compareBy({ !it.isInTime(nowMs) }, { it.rank }, { it.arrivedMs })
        )
        val underservedRanks = shares.underservedRanks(nowMs).mapNotNull { rank ->
            byRank.firstOrNull { it.rank == rank && it.isInTime(nowMs) }
        }
        return if (underservedRanks.isEmpty()) {
            byRank
        } else {
            underservedRanks +
                (byRank - underservedRanks.toSet())
        }
    }

    /** Removes and returns the requests whose time to wait is over. */
    fun takeExpired(nowMs: Long): List<QueuedRequest> {
        val expired = waiting.filter { it.giveUpMs <= nowMs }
        waiting.removeAll(expired.toSet())
        return expired
    }
}
