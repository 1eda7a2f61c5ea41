package org.hyssoprack.backend

import org.hyssoprack.common.RequestId

/** One call to a plain service; the body is passed on unchanged. */
data class ServiceCall(
    val requestId: RequestId,
    val method: String,
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    val timeoutMs: Long
)
