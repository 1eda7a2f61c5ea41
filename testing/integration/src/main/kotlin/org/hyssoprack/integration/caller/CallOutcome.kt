package org.hyssoprack.integration.caller

/** Outcomes of a call as its caller sees them. */
enum class CallOutcome {
    /** A complete answer, or an error that reports the request as done. */
    DONE,

    /** An error that reports the request as not run. */
    NOT_RUN,

    /** An error that reports that the request may have run. */
    UNKNOWN,

    /** The connection failed before anything was sent. */
    NOT_SENT,

    /** No answer, an incomplete one, or an error that cannot be parsed. */
    NO_ANSWER
}
