package org.hyssoprack.bench.load

/** How a request ended for its caller. */
enum class RequestOutcome {
    /** Whole and within its deadline. */
    GOOD,

    /** Whole, but after its deadline. */
    LATE,

    /** Not run. */
    SHED,

    /** Cut short, silent or preempted after it had begun. */
    BROKEN,

    /** Not known to have run. */
    UNKNOWN,

    /** A whole answer that is not the answer to this request. */
    WRONG
}
