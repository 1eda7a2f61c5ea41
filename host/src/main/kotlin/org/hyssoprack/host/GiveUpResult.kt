package org.hyssoprack.host

import kotlinx.serialization.Serializable

/** Result of a peer's request to give up an attempt. */
@Serializable
enum class GiveUpResult {
    /** The attempt never ran and will never run. */
    GIVEN_UP,

    /** The attempt was dispatched or may have been. */
    MAY_HAVE_RUN
}
