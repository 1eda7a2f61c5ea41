package org.hyssoprack.standins.engine

import kotlinx.serialization.Serializable

/**
 * Faults that an emulated engine shows. Those named `…Next` count answers still to be spoilt.
 *
 * @property slowdown factor on the time of every step.
 * @property freezeNext streams that stop sending after [faultAfterTokens], with the connection open.
 * @property freezeReattach whether re-attached streams send nothing either.
 * @property cutNext streams that are closed after [faultAfterTokens].
 * @property cutReattach whether re-attaching is refused.
 * @property swapIdNext answers that carry another request's id from the start.
 * @property mixNext answers that go on with another request's chunks after [faultAfterTokens].
 * @property skipNext streams that leave out the token after [faultAfterTokens].
 * @property shortNext streams that leave out their last token and still send the end marker.
 * @property doubleRunNext requests that are run twice.
 * @property failNext requests that are answered with status 500 after they were taken in.
 * @property refuseNext requests that are answered with status 503 and never run.
 * @property leaving whether load reports say that the engine is leaving.
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
