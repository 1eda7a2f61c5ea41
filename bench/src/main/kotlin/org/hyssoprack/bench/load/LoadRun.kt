package org.hyssoprack.bench.load

import kotlin.random.Random
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

/**
 * Sends a schedule as an open loop: at the planned times, however many requests are in progress.
 *
 * @param targets returns the possible targets; called for each request.
 */
class LoadRun(
    private val caller: Caller,
    private val targets: () -> List<CallerTarget>,
    private val seed: Long
) {
    /** Sends all [requests]; [startNs] is time 0 of the schedule on the nanoTime clock. */
    suspend fun run(requests: List<PlannedRequest>, startNs: Long): List<RequestRecord> =
        withContext(Dispatchers.Default) {
            coroutineScope {
                val random = Random(seed)
                requests.map { planned ->
                    val dueNs = startNs + (planned.atMs * NS_PER_MS).toLong()
                    waitUntil(dueNs)
                    val target = targets().random(random)
                    async { caller.send(planned, target, dueNs) }
                }.awaitAll()
            }
        }

    // delay() has millisecond resolution; busy-waiting for the rest keeps send times exact.
    private suspend fun waitUntil(dueNs: Long) {
        val leftMs = (dueNs - System.nanoTime()) / NS_PER_MS.toLong()
        if (leftMs > 0) delay(leftMs)
        while (System.nanoTime() < dueNs) Thread.onSpinWait()
    }

    private companion object {
        const val NS_PER_MS = 1_000_000.0
    }
}
