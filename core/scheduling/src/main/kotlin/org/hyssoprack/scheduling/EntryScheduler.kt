package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId

/**
 * Schedules the requests of one entry host: chooses the servers that they wait for and run on, and
 * rejects those that get no slot in time. Does no I/O and starts no threads; all times are on the
 * host's monotonic clock, in milliseconds.
 */
interface EntryScheduler {
    /** Adds a new request; ignores an id that is in progress or was dispatched recently. */
    fun submit(nowMs: Long, request: WaitingRequest): List<EntryOutput>

    /** Records the first token of a dispatched request, [elapsedMs] after its dispatch. */
    fun firstToken(nowMs: Long, id: RequestId, elapsedMs: Long): List<EntryOutput>

    /** Frees the slot of a dispatched request that ended, for whatever reason. */
    fun finished(nowMs: Long, id: RequestId, report: FinishReport): List<EntryOutput>

    /** Frees the slot of a request that [EntryOutput.Preempt] has suspended, until it resumes. */
    fun suspended(nowMs: Long, id: RequestId): List<EntryOutput>

    /**
     * Drops a request that was not dispatched, without a [EntryOutput.Reject]. Returns null if the
     * request is unknown or was dispatched, in which case it may have run.
     */
    fun giveUp(nowMs: Long, id: RequestId): List<EntryOutput>?

    /** Handles a message from an owner. */
    fun receive(nowMs: Long, from: HostRef, message: SlotMessage): List<EntryOutput>

    /**
     * Replaces the fleet. No further requests are registered for servers that are leaving, or with
     * the former owner of a server.
     */
    fun updateFleet(nowMs: Long, fleet: Fleet): List<EntryOutput>

    /** Records that a prefix was stored in or evicted from the prefix cache of [server]. */
    fun cacheChanged(server: BackendServerId, prefixHash: Long, stored: Boolean)

    /** Runs timeouts and periodic work; called every [TICK_MS] milliseconds. */
    fun tick(nowMs: Long): List<EntryOutput>

    /** Returns the number of requests that are waiting, running or suspended. */
    fun inProgress(): Int

    /** Rejects every waiting request with [failure]. */
    fun rejectWaiting(nowMs: Long, failure: Failure): List<EntryOutput>

    companion object {
        const val TICK_MS = 50L
    }
}
