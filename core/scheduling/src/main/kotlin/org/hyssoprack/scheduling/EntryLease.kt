package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/**
 * A slot lease on the entry host that holds it.
 *
 * @property keepable whether idle slots may be kept for further requests.
 * @property remaining number of slots that remain after the preemptions that the owner requested.
 * @property lapsesAtMs time from which no request may be dispatched on idle slots.
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
    var remaining = held
    var idleSinceMs = receivedAtMs

    val idle: Int get() = held - inUse

    /** True if a request may be dispatched on this lease. */
    fun isUsable(nowMs: Long): Boolean = idle > 0 && held <= remaining && nowMs < lapsesAtMs

    fun toHeldLease(): HeldLease = HeldLease(
        lease = id,
        tier = kind.tier,
        held = held,
        inUse = inUse,
        long = kind.long
    )
}
