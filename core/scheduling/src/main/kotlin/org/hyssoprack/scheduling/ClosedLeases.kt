package org.hyssoprack.scheduling

/** Remembers leases that have ended, so that late messages about them change nothing. */
internal class ClosedLeases(private val memoryMs: Long) {
    private val closedAtMs = LinkedHashMap<LeaseId, Long>()

    operator fun contains(id: LeaseId): Boolean = id in closedAtMs

    fun add(nowMs: Long, id: LeaseId) {
        closedAtMs.remove(id)
        closedAtMs[id] = nowMs
    }

    /** Forgets the leases that ended too long ago for any message to be on its way. */
    fun forget(nowMs: Long) {
        val oldest = closedAtMs.values.iterator()
        while (oldest.hasNext() && oldest.next() + memoryMs <= nowMs) oldest.remove()
    }
}
