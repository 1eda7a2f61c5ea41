package org.hyssoprack.policy

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.TierName

/**
 * A policy that the compiler accepted.
 *
 * @property tiers all tiers, the highest first; their index is their rank.
 * @property routes all routes in the order in which they are tried.
 */
data class CompiledPolicy(
    val tiers: List<Tier>,
    val pools: Map<PoolName, Pool>,
    val accounts: Map<ClientAccount, AccountPolicy>,
    val routes: List<Route>
) {
    /** The first route that matches [facts], or null. */
    fun route(facts: RequestMetadata): Route? = routes.firstOrNull { it.matches(facts) }

    /** The tier with this name, or null. */
    fun tier(name: TierName): Tier? = tiers.firstOrNull { it.name == name }
}
