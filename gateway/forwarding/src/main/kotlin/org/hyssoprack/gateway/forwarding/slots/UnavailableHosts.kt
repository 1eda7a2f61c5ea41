package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId

/** Hosts that replied that they cannot grant slots now. */
internal class UnavailableHosts(private val clock: Clock) {
    private class Record(val markedMs: Long, val untilMs: Long, val count: Int)

    private val records = HashMap<HostId, Record>()

    /** Excludes [host] for a time. */
    fun mark(host: HostId) {
        val nowMs = clock.nowMs()
        val before = records[host]?.takeIf { nowMs - it.markedMs <= MEMORY_MS }
        val count = before?.count ?: 0
        val untilMs = nowMs + (UNAVAILABLE_MS shl minOf(count, MAX_DOUBLINGS))
        records[host] = Record(nowMs, untilMs, count + 1)
    }

    operator fun contains(host: HostId): Boolean =
        records[host].let { it != null && it.untilMs > clock.nowMs() }

    private companion object {
        // A starting host has its settings after about this time. The time doubles with each
        // repetition, so that a host that cannot reach the store is tried less and less often.
        const val UNAVAILABLE_MS = 500L
        const val MAX_DOUBLINGS = 4
        const val MEMORY_MS = 20_000L
    }
}
