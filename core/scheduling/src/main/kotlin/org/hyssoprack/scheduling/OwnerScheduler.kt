package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.HostRef

/**
 * Lends the slots of the backend servers that one host owns. Does no I/O and starts no threads; all
 * times are on the host's monotonic clock, in milliseconds.
 */
interface OwnerScheduler {
    /** Handles a message from an entry host; ignores messages about servers it does not own. */
    fun receive(nowMs: Long, from: HostRef, message: SlotMessage): List<OwnerOutput>

    /**
     * Replaces the fleet. For one lease term after it became the owner of a server, this host lends
     * none of its slots but accepts renewals, so that it counts the slots that the former owner
     * lent.
     */
    fun updateFleet(nowMs: Long, fleet: Fleet): List<OwnerOutput>

    /** Records the load that a backend server reports. */
    fun loadReported(nowMs: Long, server: BackendServerId, running: Int, queued: Int)

    /** Frees all slots of a host incarnation that has died. */
    fun hostGone(nowMs: Long, host: HostRef): List<OwnerOutput>

    /** Runs timeouts and periodic work; called every [EntryScheduler.TICK_MS] milliseconds. */
    fun tick(nowMs: Long): List<OwnerOutput>

    /** Returns the state of every owned server, for operators. */
    fun digests(): Map<BackendServerId, ServerDigest>
}
