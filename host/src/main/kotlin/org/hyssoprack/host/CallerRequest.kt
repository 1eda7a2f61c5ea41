package org.hyssoprack.host

/**
 * One HTTP call of a caller, read whole and not yet checked.
 *
 * @property path the whole path, beginning with `/v1/`.
 * @property bearerKey key of the Authorization header, or null.
 * @property requestId value of `X-Request-Id`, or null.
 * @property attempt value of `X-Attempt`; 1 says that the id was never sent before.
 * @property deadline value of `X-Deadline-Ms`, or null.
 * @property lane value of `X-Lane`, or null.
 */
data class CallerRequest(
    val method: String,
    val path: String,
    val body: ByteArray,
    val contentType: String? = null,
    val bearerKey: String? = null,
    val requestId: String? = null,
    val attempt: String? = null,
    val idempotencyKey: String? = null,
    val deadline: String? = null,
    val lane: String? = null
)
