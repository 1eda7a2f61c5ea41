package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/**
 * A lease as its holder sees it.
 *
 * @property keepable whether idle slots may wait here for further requests.
 * @property keep slots that are left after the preemptions that the owner asked for.
 * @property lapsesAtMs time from which idle slots must not be used.
 */
internal class EntryLease(
    val id: LeaseId,
    val server: BackendServerId,
    val kind: SlotKind,
    val receivedAtMs: Long,
    var keepable: Boolean,
    var held: Int,
    var lapsesAtMs: Long
) {
    var inUse = 0
    var keep = held
    var idleSinceMs = receivedAtMs

    val idle: Int get() = held - inUse

    /** True if a request may be dispatched on this lease. */
    fun isUsable(nowMs: Long): Boolean = idle > 0 && held <= keep && nowMs < lapsesAtMs

    fun toHeldLease(): HeldLease = HeldLease(
        lease = id,
        tier = kind.tier,
        held = held,
        inUse = inUse,
        long = kind.long
    )
}
