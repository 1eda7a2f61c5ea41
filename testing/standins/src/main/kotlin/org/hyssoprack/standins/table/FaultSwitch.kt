package org.hyssoprack.standins.table

import kotlin.random.Random
import org.hyssoprack.standins.platform.RateLimit

/** The faults in force and the choices that follow from them. */
internal class FaultSwitch {
    @Volatile
    var faults = TableFaults()
        private set

    @Volatile
    var reads = RateLimit(perSecond = 0)
        private set

    @Volatile
    var writes = RateLimit(perSecond = 0)
        private set

    private var random = Random(0)

    @Synchronized
    fun set(next: TableFaults) {
        faults = next
        reads = RateLimit(perSecond = next.readsPerSecond)
        writes = RateLimit(perSecond = next.writesPerSecond)
        random = Random(next.seed)
    }

    @Synchronized
    fun fate(table: String): WriteFate {
        val now = faults
        if (now.tables.isNotEmpty() && table !in now.tables) return WriteFate.NORMAL
        val draw = random.nextDouble()
        return when {
            draw < now.loseReplyShare -> WriteFate.REPLY_LOST
            draw < now.loseReplyShare + now.lateShare -> WriteFate.LATE
            else -> WriteFate.NORMAL
        }
    }
}
