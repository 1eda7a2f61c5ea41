package org.hyssoprack.standins.engine

import kotlin.random.Random
import org.hyssoprack.backend.CacheEvent
import org.hyssoprack.common.Clock

/** Publishes cache events with a delay of [lagMs] and drops a share [loss] of them. */
internal class CacheEventFeed(
    private val clock: Clock,
    private val lagMs: Long,
    private val loss: Double,
    private val random: Random
) {
    private val events = ArrayDeque<TimedEvent>()
    private var sequence = 0L

    /** Records a change of the cache. */
    fun record(change: CacheChange) {
        change.evicted.forEach { add(prefixHash = it, stored = false) }
        change.stored?.let { add(prefixHash = it, stored = true) }
    }

    /** Returns published events with a sequence number above [after], oldest first. */
    fun after(after: Long): List<CacheEvent> {
        val visibleUntilMs = clock.nowMs() - lagMs
        return events
            .filter { it.event.sequence > after && it.atMs <= visibleUntilMs }
            .take(MAX_BATCH)
            .map { it.event }
    }

    private fun add(prefixHash: Long, stored: Boolean) {
        sequence++
        if (random.nextDouble() < loss) return
        val event = CacheEvent(sequence = sequence, prefixHash = prefixHash, stored = stored)
        events.addLast(TimedEvent(atMs = clock.nowMs(), event = event))
        if (events.size > MAX_KEPT) events.removeFirst()
    }

    private class TimedEvent(val atMs: Long, val event: CacheEvent)

    private companion object {
        const val MAX_BATCH = 1_000
        const val MAX_KEPT = 10_000
    }
}
