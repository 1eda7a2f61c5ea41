package org.hyssoprack.claims

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq

/** Repeats repairs in the background until each is settled; drops what exceeds its limits. */
internal class RepairTask(
    scope: CoroutineScope,
    private val repairer: ClaimRepairer,
    private val settings: ClaimSettings,
    private val log: EventLog
) {
    private val incoming = Channel<ClaimRepair>(Channel.UNLIMITED)
    private val open = ArrayDeque<ClaimRepair>()
    private val count = AtomicInteger()
    private val bytes = AtomicInteger()

    init {
        scope.launch { run() }
    }

    /** Number of repairs that are not settled. */
    val pending: Int get() = count.get()

    /** Takes [repair] in. A dropped one leaves its row claimed, which no attempt takes over. */
    fun add(repair: ClaimRepair) {
        val kept = count.incrementAndGet()
        val keptBytes = bytes.addAndGet(sizeOf(repair))
        if (kept <= settings.repairLimit && keptBytes <= settings.repairBytesLimit) {
            incoming.trySend(repair)
            return
        }
        forget(repair)
        log.event("claim-repair-dropped", "row" eq repair.rowKey.key)
    }

    private suspend fun run() {
        while (true) {
            if (open.isEmpty()) open.addLast(incoming.receive())
            generateSequence { incoming.tryReceive().getOrNull() }.forEach(open::addLast)
            if (!round()) delay(settings.repairDelayMs)
        }
    }

    /** Tries each open repair once; false if some are left. */
    private suspend fun round(): Boolean {
        repeat(open.size) {
            val repair = open.removeFirst()
            val step = repairer.step(repair)
            if (step == RepairResult.SETTLED) forget(repair) else open.addLast(repair)
            if (step == RepairResult.STORE_DOWN) return false
        }
        return open.isEmpty()
    }

    private fun forget(repair: ClaimRepair) {
        count.decrementAndGet()
        bytes.addAndGet(-sizeOf(repair))
    }

    private fun sizeOf(repair: ClaimRepair): Int = repair.target.outcome?.bodyBase64?.length ?: 0
}
