package org.hyssoprack.bench

import kotlinx.coroutines.delay
import org.hyssoprack.bench.deployment.Deployment
import org.hyssoprack.bench.load.CallerTarget

/** Caches the list of entry hosts that callers send requests to. */
internal class TargetList(private val deployment: Deployment) {
    @Volatile
    private var targets: List<CallerTarget> = emptyList()

    /** Returns the most recently fetched list. */
    fun current(): List<CallerTarget> = targets

    /** Fetches the list again; an empty response keeps the previous list. */
    fun refresh() {
        val read = deployment.targets()
        if (read.isNotEmpty()) targets = read
    }

    /** Refreshes the list every [TIME_TO_LIVE_MS] until cancelled. */
    suspend fun refreshForever() {
        while (true) {
            delay(TIME_TO_LIVE_MS)
            refresh()
        }
    }

    private companion object {
        const val TIME_TO_LIVE_MS = 2_000L
    }
}
