package org.hyssoprack.serving.settings

import org.hyssoprack.common.ClientAccount

/**
 * A client account and its limits over all hosts.
 *
 * @property rank takes the place of the route's rank; null leaves the route's.
 * @property ratePerS quota in [unit] a second; 0 means no limit.
 * @property burst how much of the quota may be used at once.
 * @property plainTokens tokens that a request counts that does not say its number of tokens.
 */
data class Account(
    val name: ClientAccount,
    val rank: Int? = null,
    val unit: QuotaUnit = QuotaUnit.REQUESTS,
    val ratePerS: Double = 0.0,
    val burst: Double = 0.0,
    val plainTokens: Long = 0
)
