package org.hyssoprack.client

/**
 * The complete response of a plain service.
 *
 * @property status the service's own HTTP status.
 * @property recorded true if it is the recorded response to an earlier attempt.
 */
class ServiceResponse(
    val status: Int,
    val body: ByteArray,
    val contentType: String?,
    val recorded: Boolean
)
