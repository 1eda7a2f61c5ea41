package org.hyssoprack.standins.engine

import kotlinx.serialization.Serializable

/**
 * Faults of an emulated engine. A property `…Next` is the number of further requests to fault.
 *
 * @property slowdown factor by which the duration of every step is multiplied.
 * @property freezeNext streams that stop sending after [faultAfterTokens] with the connection open.
 * @property freezeReattach whether re-attached streams freeze after [faultAfterTokens] too.
 * @property cutNext streams whose connection is closed after [faultAfterTokens].
 * @property cutReattach whether re-attaching is refused.
 * @property swapIdNext responses that carry another request's id from the start.
 * @property mixNext responses that continue with another request's chunks after [faultAfterTokens].
 * @property skipNext streams that omit the token after [faultAfterTokens].
 * @property shortNext streams that omit their last token but still send the end marker.
 * @property doubleRunNext requests that are run twice.
 * @property failNext requests that are answered with status 500 after they were admitted.
 * @property refuseNext requests that are answered with status 503 and never run.
 * @property leaving whether load reports mark the engine as leaving.
 */
@Serializable
data class EngineFaults(
    val slowdown: Double = 1.0,
    val faultAfterTokens: Int = 3,
    val freezeNext: Int = 0,
    val freezeReattach: Boolean = false,
    val cutNext: Int = 0,
    val cutReattach: Boolean = false,
    val swapIdNext: Int = 0,
    val mixNext: Int = 0,
    val skipNext: Int = 0,
    val shortNext: Int = 0,
    val doubleRunNext: Int = 0,
    val failNext: Int = 0,
    val refuseNext: Int = 0,
    val leaving: Boolean = false
)
