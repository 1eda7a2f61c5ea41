package org.hyssoprack.common

/** [Clock] over the JVM's timers. */
object SystemClock : Clock {
    private const val NANOS_PER_MS = 1_000_000L

    override fun nowMs(): Long = System.nanoTime() / NANOS_PER_MS

    override fun epochMs(): Long = System.currentTimeMillis()
}
