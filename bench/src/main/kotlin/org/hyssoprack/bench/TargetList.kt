package org.hyssoprack.bench

import kotlinx.coroutines.delay
import org.hyssoprack.bench.deployment.Deployment
import org.hyssoprack.bench.load.CallerTarget

/** The callers' cached list of entry hosts. */
internal class TargetList(private val deployment: Deployment) {
    @Volatile
    private var targets: List<CallerTarget> = emptyList()

    /** The list as last read. */
    fun now(): List<CallerTarget> = targets

    /** Reads the list anew; an empty answer leaves it as it was. */
    fun refresh() {
        val read = deployment.targets()
        if (read.isNotEmpty()) targets = read
    }

    /** Reads the list anew at each end of its time to live. */
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
