package org.hyssoprack.faultproxy

import kotlinx.serialization.Serializable

/**
 * Faults of one listener, set as a whole.
 *
 * @property up from the connecting side to the target.
 * @property down from the target to the connecting side.
 * @property refuse whether new connections are refused.
 * @property loseReplyShare share of connections, from 0 to 1, that are cut when the target's first
 *   bytes come back, after all that was sent went through.
 */
@Serializable
data class ListenerFaults(
    val up: DirectionFaults = DirectionFaults(),
    val down: DirectionFaults = DirectionFaults(),
    val refuse: Boolean = false,
    val loseReplyShare: Double = 0.0
)
