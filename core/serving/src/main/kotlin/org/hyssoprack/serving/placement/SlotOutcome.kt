package org.hyssoprack.serving.placement

import kotlinx.serialization.Serializable

/** How the use of a slot ended. */
@Serializable
enum class SlotOutcome {
    /** The server gave a whole answer, not a failure. */
    SUCCEEDED,

    /** The server failed, broke off or was left in silence. */
    FAILED,

    /** Nothing listens at the server's address. */
    UNREACHABLE,

    /** The server turned the request away. */
    FULL,

    /** The slot was not used, or its use says nothing of the server. */
    UNUSED
}
