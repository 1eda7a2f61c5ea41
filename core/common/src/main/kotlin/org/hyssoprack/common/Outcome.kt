package org.hyssoprack.common

/** Whether a request has run, as reported to its caller. */
enum class Outcome(val wireName: String) {
    /** The whole answer was delivered. */
    DONE("done"),

    /** The request reached no backend server; it may be sent again. */
    NOT_RUN("not-run"),

    /** The request ran in part, or whether it ran is not known. */
    UNKNOWN("unknown")
}
