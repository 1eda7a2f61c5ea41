package org.hyssoprack.standins.table

import kotlin.random.Random
import org.hyssoprack.standins.platform.RateLimiter

/** Holds the current faults, the rate limits they set, and draws the fault of each write. */
internal class TableFaultInjector {
    @Volatile
    var faults = TableFaults()
        private set

    @Volatile
    var reads = RateLimiter(perSecond = 0)
        private set

    @Volatile
    var writes = RateLimiter(perSecond = 0)
        private set

    private var random = Random(0)

    @Synchronized
    fun set(next: TableFaults) {
        faults = next
        reads = RateLimiter(perSecond = next.readsPerSecond)
        writes = RateLimiter(perSecond = next.writesPerSecond)
        random = Random(next.seed)
    }

    @Synchronized
    fun drawWriteFault(table: String): WriteFault {
        val now = faults
        if (now.tables.isNotEmpty() && table !in now.tables) return WriteFault.NONE
        val draw = random.nextDouble()
        return when {
            draw < now.loseReplyShare -> WriteFault.REPLY_LOST
            draw < now.loseReplyShare + now.lateShare -> WriteFault.LATE
            else -> WriteFault.NONE
        }
    }
}
