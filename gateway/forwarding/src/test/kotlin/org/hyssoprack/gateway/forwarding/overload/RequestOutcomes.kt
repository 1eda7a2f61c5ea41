package org.hyssoprack.gateway.forwarding.overload

import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.forwarding.QueueObserver
import org.hyssoprack.serving.queue.QueuedRequest

/** Counts the outcomes of requests for slots. */
internal class RequestOutcomes : QueueObserver {
    private val granted = HashMap<Pair<Int, Boolean>, Int>()
    private val refused = HashMap<Pair<Int, Boolean>, Int>()

    override fun granted(request: QueuedRequest, waitedMs: Long, isReturning: Boolean) {
        granted.merge(request.rank to isReturning, 1, Int::plus)
    }

    override fun refused(
        request: QueuedRequest,
        code: ResultCode,
        waitedMs: Long,
        isReturning: Boolean
    ) {
        refused.merge(request.rank to isReturning, 1, Int::plus)
    }

    /** Returns the number of requests of [rank] that were [isReturning]. */
    fun count(rank: Int, isReturning: Boolean): Int =
        (granted[rank to isReturning] ?: 0) + (refused[rank to isReturning] ?: 0)

    /** Returns the share of the requests of [rank] that were refused. */
    fun refusedShare(rank: Int, isReturning: Boolean): Double =
        (refused[rank to isReturning] ?: 0).toDouble() / count(rank, isReturning)
}
