package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.RequestMetadata
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.Route

/**
 * A request that was admitted by the settings in force.
 *
 * @property quota amount charged to the account's quota.
 * @property endMs monotonic time by which the final response is due.
 */
class AdmittedRequest(
    val metadata: RequestMetadata,
    val route: Route,
    val account: Account?,
    val service: ServiceId,
    val version: BundleVersion,
    val work: WorkEstimate,
    val quota: Double,
    val arrivedMs: Long,
    val endMs: Long
) {
    /** The account's rank if it has one, otherwise the route's. */
    val rank: Int get() = account?.rank ?: route.rank
}
