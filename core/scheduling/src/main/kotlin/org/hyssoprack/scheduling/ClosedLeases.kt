package org.hyssoprack.scheduling

/** Ids of leases that ended within [memoryMs], so that late messages about them are ignored. */
internal class ClosedLeases(private val memoryMs: Long) {
    private val closedAtMs = LinkedHashMap<LeaseId, Long>()

    operator fun contains(id: LeaseId): Boolean = id in closedAtMs

    fun add(nowMs: Long, id: LeaseId) {
        closedAtMs.remove(id)
        closedAtMs[id] = nowMs
    }

    /** Removes leases that ended so long ago that no message about them can still arrive. */
    fun forget(nowMs: Long) {
        val oldest = closedAtMs.values.iterator()
        while (oldest.hasNext() && oldest.next() + memoryMs <= nowMs) oldest.remove()
    }
}
