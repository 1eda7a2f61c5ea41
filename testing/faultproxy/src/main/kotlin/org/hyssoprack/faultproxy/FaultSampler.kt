package org.hyssoprack.faultproxy

import kotlin.random.Random

/** Draws faults from a seeded random generator shared by the connections of one listener. */
internal class FaultSampler(seed: Long) {
    private val random = Random(seed)

    /** Returns true with the probability [share], from 0 to 1. */
    @Synchronized
    fun isHit(share: Double): Boolean = share > 0 && random.nextDouble() < share

    /** Returns a random time from 0 to [maxMs] milliseconds. */
    @Synchronized
    fun randomMs(maxMs: Long): Long = if (maxMs > 0) random.nextLong(maxMs + 1) else 0
}
