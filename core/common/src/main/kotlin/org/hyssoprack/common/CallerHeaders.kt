package org.hyssoprack.common

/** Names of the HTTP headers of the callers' API. */
object CallerHeaders {
    /** Id of the request, on requests and answers. */
    const val REQUEST_ID = "X-Request-Id"

    /** `1` on the first attempt of a request, whose id has not been sent before. */
    const val ATTEMPT = "X-Attempt"

    /** Time in which the answer must be complete, in milliseconds. */
    const val DEADLINE = "X-Deadline-Ms"

    /** Kind of work, for routes that distinguish the kinds of work of an account. */
    const val LANE = "X-Lane"

    /** Idempotency key of a call that must not run more than once. */
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /** On answers: version of the settings bundle under which the request was served. */
    const val BUNDLE = "X-Bundle-Version"

    /** On answers: the host incarnation that answered. */
    const val HOST = "X-Host"

    /** On answers of plain services: number of the result code. */
    const val RESULT = "X-Result-Code"
}
