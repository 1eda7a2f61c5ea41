package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId

/**
 * Decides for the requests of one entry host: where they wait, where they run, and when they are
 * rejected. No I/O and no threads; all times are the host's monotonic clock in milliseconds.
 */
interface EntryScheduler {
    /** Takes a new request. */
    fun submit(nowMs: Long, request: WaitingRequest): List<EntryOutput>

    /** Notes the first token of a dispatched request, [elapsedMs] after its dispatch. */
    fun firstToken(nowMs: Long, id: RequestId, elapsedMs: Long): List<EntryOutput>

    /** Notes that a dispatched request ended, for whatever reason, and frees its slot. */
    fun finished(nowMs: Long, id: RequestId, report: FinishReport): List<EntryOutput>

    /** Notes that [EntryOutput.Preempt] with suspend took effect; frees the slot until resumed. */
    fun suspended(nowMs: Long, id: RequestId): List<EntryOutput>

    /**
     * Drops a request that was not dispatched, without a Reject output. Returns null if it was
     * dispatched already or is not known, so that the caller knows it may have run.
     */
    fun giveUp(nowMs: Long, id: RequestId): List<EntryOutput>?

    /** Handles a message of an owner. */
    fun receive(nowMs: Long, from: HostRef, message: SlotMessage): List<EntryOutput>

    /** Takes a new fleet; servers that are leaving or have a new owner get no further asks. */
    fun updateFleet(nowMs: Long, fleet: Fleet): List<EntryOutput>

    /** Notes a change of a server's prefix cache. */
    fun cacheChanged(server: BackendServerId, prefixHash: Long, stored: Boolean)

    /** Does what time demands; called every [TICK_MS] milliseconds. */
    fun tick(nowMs: Long): List<EntryOutput>

    /** Requests that wait or run now. */
    fun inProgress(): Int

    /** Rejects every waiting request with [failure]. */
    fun rejectWaiting(nowMs: Long, failure: Failure): List<EntryOutput>

    companion object {
        const val TICK_MS = 50L
    }
}
