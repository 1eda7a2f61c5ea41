package org.hyssoprack.bench.load

/** Outcome of a request as seen by its caller. */
enum class RequestOutcome {
    /** Complete response within the deadline. */
    GOOD,

    /** Complete response after the deadline. */
    LATE,

    /** Rejected or never sent, and therefore not run. */
    SHED,

    /** Response truncated, stalled or ended by an error, such as preemption, after it had begun. */
    BROKEN,

    /** No token and no error received, so the request may or may not have run. */
    UNKNOWN,

    /** Response with an unexpected token, or an end marker before the full response. */
    WRONG
}
