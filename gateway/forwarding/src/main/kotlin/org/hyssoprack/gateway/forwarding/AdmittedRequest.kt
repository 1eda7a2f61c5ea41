package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.RequestMetadata
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.Route

/**
 * A request that the settings allow.
 *
 * @property quota what it takes of the account's quota.
 * @property endMs monotonic time by which it must have its final answer.
 */
class AdmittedRequest(
    val facts: RequestMetadata,
    val route: Route,
    val account: Account?,
    val service: ServiceId,
    val version: BundleVersion,
    val work: WorkEstimate,
    val quota: Double,
    val arrivedMs: Long,
    val endMs: Long
) {
    /** The account's rank, where it has one, goes before the route's. */
    val rank: Int get() = account?.rank ?: route.rank
}
