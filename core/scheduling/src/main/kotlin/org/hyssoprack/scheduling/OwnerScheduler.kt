package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.HostRef

/**
 * Lends the slots of the backend servers that one host owns. No I/O and no threads; all times are
 * the host's monotonic clock in milliseconds.
 */
interface OwnerScheduler {
    /** Handles a message of an entry host. Messages about servers that are not owned are ignored. */
    fun receive(nowMs: Long, from: HostRef, message: SlotMessage): List<OwnerOutput>

    /**
     * Takes a new fleet. A server that this host comes to own lends nothing for one lease term, but
     * accepts renewals, so that slots lent by the former owner are counted.
     */
    fun updateFleet(nowMs: Long, fleet: Fleet): List<OwnerOutput>

    /** Notes a backend server's own load report. */
    fun loadReported(nowMs: Long, server: BackendServerId, running: Int, queued: Int)

    /** Frees all slots of a host incarnation that has died. */
    fun hostGone(nowMs: Long, host: HostRef): List<OwnerOutput>

    /** Does what time demands; called every [EntryScheduler.TICK_MS] milliseconds. */
    fun tick(nowMs: Long): List<OwnerOutput>

    /** State of every owned server, for operators. */
    fun digests(): Map<BackendServerId, ServerDigest>
}
