package org.hyssoprack.claims

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq

/** Attempts repairs in the background until each is settled; drops those beyond its limits. */
internal class RepairTask(
    scope: CoroutineScope,
    private val repairer: ClaimRepairer,
    private val settings: ClaimSettings,
    private val log: EventLog
) {
    private val incoming = Channel<ClaimRepair>(Channel.UNLIMITED)
    private val queue = ArrayDeque<ClaimRepair>()
    private val count = AtomicInteger()
    private val bytes = AtomicInteger()

    init {
        scope.launch { run() }
    }

    /** Number of repairs that are not settled yet. */
    val pending: Int get() = count.get()

    /** Queues [repair]. If it is dropped, its row stays claimed, which no attempt overwrites. */
    fun add(repair: ClaimRepair) {
        val kept = count.incrementAndGet()
        val keptBytes = bytes.addAndGet(sizeOf(repair))
        if (kept <= settings.repairLimit && keptBytes <= settings.repairBytesLimit) {
            incoming.trySend(repair)
            return
        }
        discard(repair)
        log.event("claim-repair-dropped", "row" eq repair.rowKey.key)
    }

    private suspend fun run() {
        while (true) {
            if (queue.isEmpty()) queue.addLast(incoming.receive())
            generateSequence { incoming.tryReceive().getOrNull() }.forEach(queue::addLast)
            if (!round()) delay(settings.repairDelayMs)
        }
    }

    /** Attempts each pending repair once; returns false if some are left. */
    private suspend fun round(): Boolean {
        repeat(queue.size) {
            val repair = queue.removeFirst()
            val result = repairer.attempt(repair)
            if (result == RepairResult.SETTLED) discard(repair) else queue.addLast(repair)
            if (result == RepairResult.STORE_UNAVAILABLE) return false
        }
        return queue.isEmpty()
    }

    private fun discard(repair: ClaimRepair) {
        count.decrementAndGet()
        bytes.addAndGet(-sizeOf(repair))
    }

    private fun sizeOf(repair: ClaimRepair): Int = repair.target.outcome?.bodyBase64?.length ?: 0
}
