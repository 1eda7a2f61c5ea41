package org.hyssoprack.examples.embedding

import org.hyssoprack.claims.ClaimResult
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.RequestId

/**
 * Results of the example.
 *
 * @property versions active bundle version of each host.
 * @property submitted ids of the submitted requests.
 * @property dispatched ids of the dispatched requests, one entry per dispatch.
 * @property claims results of two claims of the same call.
 */
data class ExampleResult(
    val versions: List<BundleVersion>,
    val submitted: List<RequestId>,
    val dispatched: List<RequestId>,
    val claims: List<ClaimResult>
)
