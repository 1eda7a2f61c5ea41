package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Decides when to send a request to a straggler, so that its owner can detect its recovery. */
internal class StragglerProbes {
    private val sentAtMs = HashMap<BackendServerId, Long>()

    /** Returns true if a probe of [server] is due; requests of the lowest tier probe more often. */
    fun isDue(nowMs: Long, server: BackendServerId, isLowestTier: Boolean): Boolean {
        val lastMs = sentAtMs.getOrPut(server) { nowMs }
        val intervalMs = if (isLowestTier) LOWEST_TIER_INTERVAL_MS else INTERVAL_MS
        return nowMs - lastMs >= intervalMs
    }

    fun recordProbe(nowMs: Long, server: BackendServerId) {
        sentAtMs[server] = nowMs
    }

    private companion object {
        const val LOWEST_TIER_INTERVAL_MS = 2_000L
        const val INTERVAL_MS = 10_000L
    }
}
