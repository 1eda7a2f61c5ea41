package org.hyssoprack.client

/**
 * The whole answer of a plain service.
 *
 * @property status the service's own HTTP status.
 * @property recorded true if it is the recorded answer of an earlier attempt.
 */
class ServiceAnswer(
    val status: Int,
    val body: ByteArray,
    val contentType: String?,
    val recorded: Boolean
)
