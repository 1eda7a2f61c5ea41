package org.hyssoprack.integration.caller

/** What a caller learned of its call. */
enum class ToldOutcome {
    /** A whole answer with its end marker. */
    DONE,

    /** The system said that the request did not run. */
    NOT_RUN,

    /** The system said that the request may have run. */
    UNKNOWN,

    /** The connection failed before anything was sent. */
    NOT_SENT,

    /** The answer broke off, or none came. */
    NO_ANSWER
}
