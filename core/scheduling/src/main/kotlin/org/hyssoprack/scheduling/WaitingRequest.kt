package org.hyssoprack.scheduling

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank

/**
 * A request that is submitted to the scheduler.
 *
 * @property deadlineAtMs time on the entry host's clock by which the answer must be complete.
 * @property promptTokens estimated length of the prompt in tokens.
 * @property completionTokens estimated length of the answer in tokens.
 * @property prefixHash hash of the start of the prompt; null if it has no cacheable prefix.
 * @property once whether the call may not be repeated; such calls are never preempted.
 */
data class WaitingRequest(
    val id: RequestId,
    val account: ClientAccount,
    val share: Int,
    val tier: TierRank,
    val pool: PoolName,
    val arrivedAtMs: Long,
    val deadlineAtMs: Long,
    val promptTokens: Int = 0,
    val completionTokens: Int = 0,
    val prefixHash: Long? = null,
    val once: Boolean = false
)
