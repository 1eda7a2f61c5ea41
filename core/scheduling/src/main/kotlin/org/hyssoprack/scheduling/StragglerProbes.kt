package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Decides which requests try out a straggler, so that its owner learns when it has recovered. */
internal class StragglerProbes {
    private val sentAtMs = HashMap<BackendServerId, Long>()

    /** True if a request shall try [server]; those of the lowest tier do so sooner. */
    fun isDue(nowMs: Long, server: BackendServerId, isLowestTier: Boolean): Boolean {
        val lastMs = sentAtMs.getOrPut(server) { nowMs }
        val intervalMs = if (isLowestTier) LOWEST_TIER_INTERVAL_MS else INTERVAL_MS
        return nowMs - lastMs >= intervalMs
    }

    fun sent(nowMs: Long, server: BackendServerId) {
        sentAtMs[server] = nowMs
    }

    private companion object {
        const val LOWEST_TIER_INTERVAL_MS = 2_000L
        const val INTERVAL_MS = 10_000L
    }
}
