package org.hyssoprack.serving.queue

/**
 * Orders the requests of one service that wait for a slot: those that can still be in time first,
 * among these the urgent ranks, and within a rank the oldest. Answers overload in which not all can
 * be in time: a late answer is worth a part of one in time, whatever its rank.
 */
class DispatchQueue {
    private val waiting = ArrayList<QueuedRequest>()

    val size: Int get() = waiting.size

    fun add(request: QueuedRequest) {
        waiting += request
    }

    fun remove(request: QueuedRequest): Boolean = waiting.remove(request)

    /** Number of requests that would be served before a new one of [rank]. */
    fun ahead(rank: Int): Int = waiting.count { it.rank <= rank }

    /** Number of waiting requests of [rank] and more urgent ones that can still be in time. */
    fun aheadInTime(rank: Int, nowMs: Long): Int =
        waiting.count { it.rank <= rank && it.isInTime(nowMs) }

    /** Waiting requests in the order in which they should be served. */
    fun ordered(nowMs: Long): List<QueuedRequest> = waiting.sortedWith(
        compareBy({ !it.isInTime(nowMs) }, { it.rank }, { it.arrivedMs })
    )

    /** Removes and returns the requests whose time to wait is over. */
    fun takeExpired(nowMs: Long): List<QueuedRequest> {
        val expired = waiting.filter { it.giveUpMs <= nowMs }
        waiting.removeAll(expired.toSet())
        return expired
    }
}
