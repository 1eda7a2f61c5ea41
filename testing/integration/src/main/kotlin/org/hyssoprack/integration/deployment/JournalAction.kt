package org.hyssoprack.integration.deployment

/** Kinds of entries in a [Journal]. */
enum class JournalAction {
    /** A backend server was marked as leaving in the host list. */
    LEAVING,

    /** A backend server was marked as live again. */
    LIVE,

    /** A graceful stop of a host was requested with SIGTERM. */
    STOPPED,

    /** A host was killed with SIGKILL. */
    KILLED,

    /** A host was started. */
    STARTED,

    /** A bundle was accepted for an operator; the detail is its version. */
    ACCEPTED,

    /** A fault was injected, or a host was paused or resumed. */
    FAULT
}
