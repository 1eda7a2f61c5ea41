package org.hyssoprack.scheduling

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/**
 * A slot lease on the host that owns the backend server.
 *
 * @property account client account that the lease was granted for; null for a block.
 * @property resuming suspended request that the lease was granted for, or null.
 * @property keepable whether the holder may keep unused slots for further requests.
 * @property termStartAtMs time on the holder's clock at which the term of the lease starts.
 * @property held number of slots by the holder's last report; it never grows.
 * @property remaining number of slots that remain after the preemptions that were requested.
 */
internal class OwnerLease(
    val id: LeaseId,
    val holder: HostRef,
    val tier: TierRank,
    val long: Boolean,
    val grantedAtMs: Long,
    val keepable: Boolean,
    var termStartAtMs: Long,
    var held: Int,
    var lapsesAtMs: Long,
    val account: ClientAccount? = null,
    val resuming: RequestId? = null
) {
    var inUse = held
    var remaining = held
    var preemptSentAtMs = NEVER_MS
    var recallSentAtMs = NEVER_MS
    var preemptAttempts = 0
    var renewed = false

    /** Number of slots that preemption was requested for and that are not returned yet. */
    val beingFreed: Int get() = (held - remaining).coerceAtLeast(0)

    /** Applies the holder's report that it holds [count] slots, unless it reported fewer before. */
    fun shrinkTo(count: Int) {
        if (count < held) preemptAttempts = 0
        held = minOf(held, count.coerceAtLeast(0))
        inUse = minOf(inUse, held)
        remaining = minOf(remaining, held)
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
