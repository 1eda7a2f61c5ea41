package org.hyssoprack.integration.caller

/** Kinds of calls that the tests make. */
enum class CallKind {
    /** A completion in the highest tier. */
    LETTER,

    /** A completion in the lowest tier. */
    QUESTION,

    /** A call to a plain service that must not run more than once. */
    BOOKING,

    /** A call to a plain service that may run more than once. */
    LOOKUP
}
