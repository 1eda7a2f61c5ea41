package org.hyssoprack.host

import kotlinx.serialization.Serializable

/** What became of an attempt that another host asked to give up. */
@Serializable
enum class GiveUpResult {
    /** The attempt never ran and will never run. */
    GIVEN_UP,

    /** The attempt was dispatched or may have been. */
    MAY_HAVE_RUN
}
