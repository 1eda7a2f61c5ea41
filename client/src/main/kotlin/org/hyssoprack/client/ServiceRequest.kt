package org.hyssoprack.client

import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.ServiceId

/**
 * A call of a plain service.
 *
 * @property path path behind the service's name, without a leading slash.
 * @property deadlineMs time in which the answer must come, retries included.
 * @property idempotencyKey needed on routes whose calls may not be repeated; the same for every
 *   attempt of one call, also after the caller itself restarted.
 */
class ServiceRequest(
    val service: ServiceId,
    val path: String,
    val deadlineMs: Long,
    val method: String = "POST",
    val body: ByteArray = ByteArray(0),
    val contentType: String = "application/json",
    val idempotencyKey: IdempotencyKey? = null
)
