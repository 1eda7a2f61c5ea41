package org.hyssoprack.serving.queue

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.serving.sharing.Claim

/**
 * A [QueuedRequest] with its expected slot time, as a [Claim] on the capacity of its service.
 *
 * @property isReturning whether its caller was refused before and told to return now.
 */
internal class WaitingRequest(
    val request: QueuedRequest,
    override val slotMs: Double,
    val isReturning: Boolean = false
) : Claim {
    override val rank: Int get() = request.rank
    override val account: ClientAccount? get() = request.account
    override val domain: FailureDomain? get() = request.domain
}
