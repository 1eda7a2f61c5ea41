package org.hyssoprack.policy

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.ModelId
import org.hyssoprack.common.ServiceId

/**
 * The attributes of a request that route conditions can test.
 *
 * @property path for a plain service the part after `/v1/services/{service}`, else the whole path.
 * @property lane value of the `X-Lane` header, with which an account labels its kinds of work.
 */
data class RequestMetadata(
    val account: ClientAccount,
    val method: String,
    val path: String,
    val model: ModelId? = null,
    val service: ServiceId? = null,
    val lane: String? = null
)
