package org.hyssoprack.faultproxy

import kotlin.random.Random

/** Seeded chance, shared by the connections of one listener. */
internal class Dice(seed: Long) {
    private val random = Random(seed)

    /** True for a [share] from 0 to 1 of the calls. */
    @Synchronized
    fun hits(share: Double): Boolean = share > 0 && random.nextDouble() < share

    /** A time from 0 to [maxMs] milliseconds. */
    @Synchronized
    fun timeMs(maxMs: Long): Long = if (maxMs > 0) random.nextLong(maxMs + 1) else 0
}
