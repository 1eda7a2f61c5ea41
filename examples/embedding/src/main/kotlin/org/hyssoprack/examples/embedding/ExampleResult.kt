package org.hyssoprack.examples.embedding

import org.hyssoprack.claims.ClaimResult
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.RequestId

/**
 * What the example did.
 *
 * @property versions bundle version in force, by host.
 * @property submitted requests that were submitted.
 * @property dispatched requests that were dispatched, once for each dispatch.
 * @property claims results of two claims of the same call.
 */
data class ExampleResult(
    val versions: List<BundleVersion>,
    val submitted: List<RequestId>,
    val dispatched: List<RequestId>,
    val claims: List<ClaimResult>
)
