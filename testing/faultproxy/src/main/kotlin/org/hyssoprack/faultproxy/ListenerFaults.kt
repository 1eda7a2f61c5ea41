package org.hyssoprack.faultproxy

import kotlinx.serialization.Serializable

/**
 * Faults of one listener; setting them replaces all earlier ones.
 *
 * @property up faults of the direction from the client to the target.
 * @property down faults of the direction from the target to the client.
 * @property refuse whether new connections are refused.
 * @property loseReplyShare share of connections, from 0 to 1, that are closed when the first bytes
 *   from the target arrive: the target has received the request, the client gets no reply.
 */
@Serializable
data class ListenerFaults(
    val up: DirectionFaults = DirectionFaults(),
    val down: DirectionFaults = DirectionFaults(),
    val refuse: Boolean = false,
    val loseReplyShare: Double = 0.0
)
