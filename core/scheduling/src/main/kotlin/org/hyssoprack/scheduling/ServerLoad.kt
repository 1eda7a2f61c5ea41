package org.hyssoprack.scheduling

import org.hyssoprack.policy.Pool

/** What an owner knows of the speed and load of one backend server. */
internal class ServerLoad(private var slots: Int, private var pool: Pool) {
    private var reportedLoad = 0

    /** Slots that may be lent at most. */
    val limit: Int get() = slots

    fun changeSlots(slots: Int, pool: Pool) {
        this.slots = slots
        this.pool = pool
    }

    fun reported(running: Int, queued: Int) {
        reportedLoad = running + queued
    }

    /** Takes in a measurement that was made while [lent] slots were lent. */
    fun measured(nowMs: Long, sample: ServerSample, lent: Int) = Unit

    /** Expected time for which a request holds its slot, in milliseconds. */
    fun holdMs(long: Boolean): Double = if (long) LONG_HOLD_MS else SHORT_HOLD_MS

    fun digest(lent: Int, waiting: List<Int>): ServerDigest = ServerDigest(
        limit = limit,
        lent = lent,
        waiting = waiting,
        firstTokenMs = 0.0,
        tokenMs = 0.0,
        prefillTokensPerMs = 0.0,
        reportedLoad = reportedLoad
    )

    private companion object {
        const val SHORT_HOLD_MS = 500.0
        const val LONG_HOLD_MS = 10_000.0
    }
}
