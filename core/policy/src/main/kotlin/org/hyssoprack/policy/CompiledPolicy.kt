package org.hyssoprack.policy

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.PoolName
import org.hyssoprack.common.TierName

/**
 * A policy that the compiler accepted.
 *
 * @property tiers all tiers, the highest first; their index is their rank.
 * @property routes all routes in the order in which they are matched.
 */
data class CompiledPolicy(
    val tiers: List<Tier>,
    val pools: Map<PoolName, Pool>,
    val accounts: Map<ClientAccount, AccountPolicy>,
    val routes: List<Route>
) {
    /** Returns the first route that matches [metadata], or null. */
    fun route(metadata: RequestMetadata): Route? = routes.firstOrNull { it.matches(metadata) }

    /** Returns the tier with this name, or null. */
    fun tier(name: TierName): Tier? = tiers.firstOrNull { it.name == name }
}
