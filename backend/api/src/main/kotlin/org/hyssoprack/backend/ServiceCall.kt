package org.hyssoprack.backend

import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.RequestId

/**
 * One call to a plain service; the body is passed on unchanged.
 *
 * @property idempotencyKey passed on so that the service can tell repeated calls too.
 */
data class ServiceCall(
    val requestId: RequestId,
    val method: String,
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    val timeoutMs: Long,
    val idempotencyKey: IdempotencyKey? = null
)
