package org.hyssoprack.serving.placement

import kotlinx.serialization.Serializable

/** Outcome of using a slot. */
@Serializable
enum class SlotOutcome {
    /** The server returned a complete response that is not a failure. */
    SUCCEEDED,

    /**
     * The server failed, broke off its response, or was abandoned because it stopped responding.
     */
    FAILED,

    /** Nothing listens at the server's address. */
    UNREACHABLE,

    /** The server rejected the request. */
    FULL,

    /** The slot was not used, or its use gives no information about the server. */
    UNUSED
}
