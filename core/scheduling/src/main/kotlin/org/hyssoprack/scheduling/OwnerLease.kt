package org.hyssoprack.scheduling

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/**
 * A lease as its owner sees it.
 *
 * @property account account of the request that the lease was granted for; null for a block.
 * @property resuming suspended request that the lease was granted for, or null.
 * @property keepable whether the holder may keep unused slots for further requests.
 * @property askedAtMs time on the holder's clock from which the term of the lease counts.
 * @property held slots that the holder keeps, as far as the owner knows; it never grows.
 * @property keep slots that the holder may keep after the preemptions that were asked for.
 */
internal class OwnerLease(
    val id: LeaseId,
    val holder: HostRef,
    val tier: TierRank,
    val long: Boolean,
    val grantedAtMs: Long,
    val keepable: Boolean,
    var askedAtMs: Long,
    var held: Int,
    var lapsesAtMs: Long,
    val account: ClientAccount? = null,
    val resuming: RequestId? = null
) {
    var inUse = held
    var keep = held
    var preemptAskedAtMs = NEVER_MS
    var recallAskedAtMs = NEVER_MS
    var preemptTries = 0
    var renewed = false

    /** Slots that were asked back by preemption and have not come back. */
    val beingFreed: Int get() = (held - keep).coerceAtLeast(0)

    /** Takes the holder's word that it keeps [count] slots, unless it said less before. */
    fun shrinkTo(count: Int) {
        if (count < held) preemptTries = 0
        held = minOf(held, count.coerceAtLeast(0))
        inUse = minOf(inUse, held)
        keep = minOf(keep, held)
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
