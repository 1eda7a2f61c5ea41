package org.hyssoprack.client

import org.hyssoprack.common.IdempotencyKey
import org.hyssoprack.common.ServiceId

/**
 * A call of a plain service.
 *
 * @property path path after the service's name, without a leading slash.
 * @property deadlineMs time limit for the whole call in milliseconds, retries included.
 * @property idempotencyKey required on routes whose calls may not be repeated; must be the same for
 *   every attempt of one call, also after a restart of the caller.
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
