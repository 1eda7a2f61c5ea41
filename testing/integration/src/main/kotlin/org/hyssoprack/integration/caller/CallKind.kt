package org.hyssoprack.integration.caller

/** What a call of a test is. */
enum class CallKind {
    /** A completion of the highest tier. */
    LETTER,

    /** A completion of the lowest tier. */
    QUESTION,

    /** A call of a plain service that may not be repeated. */
    BOOKING,

    /** A call of a plain service that may be repeated. */
    LOOKUP
}
