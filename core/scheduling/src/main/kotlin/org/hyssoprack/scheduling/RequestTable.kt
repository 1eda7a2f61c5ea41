package org.hyssoprack.scheduling

import org.hyssoprack.common.RequestId

/**
 * All requests in progress on an entry host, and the ids of dispatched ones that ended within
 * [SchedulingSettings.tombstoneMs].
 */
internal class RequestTable(private val settings: SchedulingSettings) {
    private val inProgress = LinkedHashMap<RequestId, EntryRequest>()
    private val waiting = HashMap<SlotKind, LinkedHashMap<RequestId, EntryRequest>>()
    private val running = HashMap<RequestId, EntryRequest>()
    private val endedAtMs = LinkedHashMap<RequestId, Long>()

    val size: Int get() = inProgress.size
    val kinds: Set<SlotKind> get() = waiting.keys

    fun isKnown(id: RequestId): Boolean = id in inProgress || id in endedAtMs

    fun find(id: RequestId): EntryRequest? = inProgress[id]

    fun add(request: EntryRequest) {
        inProgress[request.id] = request
        waiting.getOrPut(request.kind) { LinkedHashMap() }[request.id] = request
    }

    fun waiting(): List<EntryRequest> = waiting.values.flatMap { it.values }

    fun waiting(kind: SlotKind): List<EntryRequest> = waiting[kind]?.values?.toList().orEmpty()

    fun suspended(): List<EntryRequest> =
        running.values.filter { it.phase == RequestPhase.SUSPENDED }

    fun runningOn(lease: EntryLease): List<EntryRequest> =
        running.values.filter { it.phase == RequestPhase.RUNNING && it.lease === lease }

    /** Returns the number of waiting requests in the pool and tier of [kind], long and short. */
    fun waitingInTier(kind: SlotKind): Int {
        val other = kind.copy(long = !kind.long)
        return (waiting[kind]?.size ?: 0) + (waiting[other]?.size ?: 0)
    }

    fun dispatched(request: EntryRequest) {
        removeWaiting(request)
        running[request.id] = request
    }

    /** Removes a request that was never dispatched. */
    fun drop(request: EntryRequest) {
        removeWaiting(request)
        inProgress.remove(request.id)
    }

    /** Removes a request that was dispatched; its id is never dispatched again. */
    fun ended(nowMs: Long, request: EntryRequest) {
        running.remove(request.id)
        inProgress.remove(request.id)
        endedAtMs[request.id] = nowMs
    }

    fun forgetEnded(nowMs: Long) {
        val oldest = endedAtMs.values.iterator()
        while (oldest.hasNext() && oldest.next() + settings.tombstoneMs <= nowMs) oldest.remove()
    }

    private fun removeWaiting(request: EntryRequest) {
        val ofKind = waiting[request.kind] ?: return
        ofKind.remove(request.id)
        if (ofKind.isEmpty()) waiting.remove(request.kind)
    }
}
