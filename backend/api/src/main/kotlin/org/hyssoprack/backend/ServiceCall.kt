package org.hyssoprack.backend

import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.RequestId

/**
 * One call to a plain service; the body is forwarded unchanged.
 *
 * @property idempotencyKey forwarded so that the service can also detect repeated calls.
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
