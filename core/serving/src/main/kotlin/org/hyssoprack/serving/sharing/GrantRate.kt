package org.hyssoprack.serving.sharing

import org.hyssoprack.serving.limits.SlidingWindowSum

/** Rate at which the requests of one service are granted slots, over the last second. */
class GrantRate {
    private val grants = SlidingWindowSum(WINDOW_MS)
    private val grantedMs = SlidingWindowSum(WINDOW_MS)
    private var queuedSinceMs = Long.MAX_VALUE

    /** Records a grant to a request that is expected to hold the slot for [slotMs]. */
    fun recordGrant(slotMs: Double, nowMs: Long) {
        grants.add(nowMs, 1.0)
        grantedMs.add(nowMs, slotMs)
    }

    /** Records that requests wait from now on, and none did before. */
    fun recordQueueBegin(nowMs: Long) {
        queuedSinceMs = nowMs
    }

    /** Returns the number of grants in the last [WINDOW_MS]. */
    fun count(nowMs: Long): Int = grants.total(nowMs).toInt()

    /** Returns the grants per millisecond. */
    fun perMs(nowMs: Long): Double = grants.total(nowMs) / WINDOW_MS

    /**
     * Returns how many of [slots] the waiting requests get. Servers whose memory or prompts limit
     * them use fewer than they have, which shows once requests have waited for the whole window.
     */
    fun usableSlots(slots: Int, nowMs: Long): Double {
        val used = grantedMs.total(nowMs) / WINDOW_MS
        val isMeasured = nowMs - queuedSinceMs >= WINDOW_MS && used > 0
        return if (isMeasured) minOf(slots.toDouble(), used) else slots.toDouble()
    }

    companion object {
        /** Time over which the rate is measured, in milliseconds. */
        const val WINDOW_MS = 1_000L
    }
}
