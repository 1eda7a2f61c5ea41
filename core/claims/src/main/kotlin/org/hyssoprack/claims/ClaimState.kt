package org.hyssoprack.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of the call that a claim's row records. */
@Serializable
internal enum class ClaimState {
    /** The attempt may have dispatched the call. */
    @SerialName("claimed")
    CLAIMED,

    /** The attempt has not dispatched the call and never will. */
    @SerialName("not-run")
    NOT_RUN,

    /** The call has ended; the outcome is recorded. */
    @SerialName("ended")
    ENDED
}
