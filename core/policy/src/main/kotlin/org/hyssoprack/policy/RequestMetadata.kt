package org.hyssoprack.policy

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.ServiceId

/**
 * What routes may look at.
 *
 * @property path for a plain service the part after `/v1/services/{service}`, else the whole path.
 * @property lane value of the `X-Lane` header, by which an account tells its kinds of work apart.
 */
data class RequestMetadata(
    val account: ClientAccount,
    val method: String,
    val path: String,
    val model: ModelId? = null,
    val service: ServiceId? = null,
    val lane: String? = null
)
