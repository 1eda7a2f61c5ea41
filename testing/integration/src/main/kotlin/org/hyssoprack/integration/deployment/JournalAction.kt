package org.hyssoprack.integration.deployment

/** Kinds of entries in a [Journal]. */
enum class JournalAction {
    /** A backend server was marked as leaving in the host list. */
    LEAVING,

    /** A backend server was marked as live again. */
    LIVE,

    /** A host was asked to stop. */
    STOPPED,

    /** A host was ended at once. */
    KILLED,

    /** A host was started. */
    STARTED,

    /** An operator was told that a bundle is accepted; the detail is its version. */
    ACCEPTED,

    /** A fault was injected or taken back. */
    FAULT
}
