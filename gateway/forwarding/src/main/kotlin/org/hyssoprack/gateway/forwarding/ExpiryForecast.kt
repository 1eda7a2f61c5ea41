package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.queue.DispatchQueue
import org.hyssoprack.serving.queue.QueuedRequest
import org.hyssoprack.serving.sharing.GrantRate

/**
 * Predicts by the grants of the last second whether a new request expires before it is granted a
 * slot, for overloads of services whose slots are not shared between accounts.
 */
internal class ExpiryForecast(private val queue: DispatchQueue, private val rate: GrantRate) {
    /** Returns whether [request], which is not in the queue, would wait for longer than it may. */
    fun isExpectedToExpire(request: QueuedRequest, nowMs: Long): Boolean {
        if (request.isStarted) return false
        val perMs = rate.perMs(nowMs)
        if (queue.size < MIN_QUEUE || perMs <= 0) return false
        val expectedWaitMs = queue.ahead(request.rank, nowMs) / perMs
        if (expectedWaitMs < request.onTimeWaitMs(nowMs)) return false
        return nowMs + queue.size / perMs > request.giveUpMs
    }

    companion object {
        /** Shorter queues do not predict the waiting time well. */
        const val MIN_QUEUE = 4
    }
}
