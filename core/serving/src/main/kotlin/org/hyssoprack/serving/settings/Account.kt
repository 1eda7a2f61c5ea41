package org.hyssoprack.serving.settings

import org.hyssoprack.common.ClientAccount

/**
 * A client account and its limits over all hosts.
 *
 * @property rank overrides the route's rank; null keeps the route's.
 * @property ratePerS quota in [unit] per second; 0 means no limit.
 * @property burst amount that may be used in any window on top of the rate.
 * @property plainTokens tokens charged for a request that does not state its number of tokens.
 */
data class Account(
    val name: ClientAccount,
    val rank: Int? = null,
    val unit: QuotaUnit = QuotaUnit.REQUESTS,
    val ratePerS: Double = 0.0,
    val burst: Double = 0.0,
    val plainTokens: Long = 0
)
