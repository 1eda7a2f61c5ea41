package org.hyssoprack.serving.queue

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.serving.sharing.Claim

/**
 * A [QueuedRequest] with its expected slot time, as a [Claim] on the capacity of its service.
 *
 * @property isReturning whether its caller was refused before and told to return now.
 * @param isShared whether the capacity is shared between accounts; otherwise all count as one.
 */
internal class WaitingRequest(
    val request: QueuedRequest,
    override val slotMs: Double,
    val isReturning: Boolean = false,
    isShared: Boolean = true
) : Claim {
    override val rank: Int get() = request.rank
    override val account: ClientAccount? = request.account.takeIf { isShared }
    override val domain: FailureDomain? get() = request.domain
}
