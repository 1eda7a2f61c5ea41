package org.hyssoprack.rollout

import kotlinx.serialization.Serializable

/** State of a roll-out. The states other than [RUNNING] are final for the same order. */
@Serializable
enum class RolloutState {
    /** The new version gets a bounded part of the requests. */
    RUNNING,

    /** Only the new version gets requests. */
    SUCCEEDED,

    /** The new version gets no requests. */
    ROLLED_BACK;

    val isFinal: Boolean get() = this != RUNNING
}
