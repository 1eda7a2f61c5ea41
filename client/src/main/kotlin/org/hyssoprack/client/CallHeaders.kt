package org.hyssoprack.client

/** Names of the HTTP headers of the callers' API. */
internal object CallHeaders {
    const val REQUEST_ID = "X-Request-Id"
    const val ATTEMPT = "X-Attempt"
    const val DEADLINE = "X-Deadline-Ms"
    const val LANE = "X-Lane"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val RESULT = "X-Result-Code"
}
