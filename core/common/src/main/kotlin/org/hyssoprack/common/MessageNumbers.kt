package org.hyssoprack.common

import java.util.concurrent.atomic.AtomicLong

/**
 * Numbers by which replies are matched to the messages of one [run] of a host. No two runs have a
 * number in common, so a late reply to a message of a former run matches none of this run's.
 */
class MessageNumbers(run: Incarnation) {
    private val counter = AtomicLong(run.value shl BITS_PER_MS)

    /** The number that was given last. */
    val last: Long get() = counter.get()

    fun next(): Long = counter.incrementAndGet()

    private companion object {
        // A run that sends up to a million messages a millisecond does not reach the numbers of the
        // next run, which starts at least a millisecond later.
        const val BITS_PER_MS = 20
    }
}
