package org.hyssoprack.host

import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.RequestId
import org.hyssoprack.policy.Pool
import org.hyssoprack.policy.Route
import org.hyssoprack.scheduling.WaitingRequest

/**
 * A caller's request that passed all admission checks.
 *
 * @property bundle version of the settings bundle that applies to the request until it ends.
 * @property firstAttempt true if the caller sent no id or marked this as the first attempt with it.
 * @property servicePath path to call on a plain service; null for a completion.
 * @property stream whether the response is streamed token by token.
 */
data class AdmittedRequest(
    val id: RequestId,
    val account: ClientAccount,
    val route: Route,
    val pool: Pool,
    val bundle: BundleVersion,
    val waiting: WaitingRequest,
    val call: CallerRequest,
    val firstAttempt: Boolean,
    val idempotencyKey: IdempotencyKey? = null,
    val servicePath: String? = null,
    val stream: Boolean = false
)
