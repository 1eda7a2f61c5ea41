package org.hyssoprack.host

/**
 * One HTTP request of a caller, received completely and not yet validated.
 *
 * @property path the full path, beginning with `/v1/`.
 * @property bearerKey key of the Authorization header, or null.
 * @property requestId value of `X-Request-Id`, or null.
 * @property attempt value of `X-Attempt`, or null; 1 marks the first attempt with the id.
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
