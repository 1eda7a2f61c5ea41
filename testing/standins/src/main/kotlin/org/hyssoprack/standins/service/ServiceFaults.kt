package org.hyssoprack.standins.service

import kotlinx.serialization.Serializable

/**
 * Faults that an emulated plain service shows. Those named `…Next` count calls still to be spoilt.
 *
 * @property extraLatencyMs added to the time of every call, in milliseconds.
 * @property loseReplyNext calls that run and whose answer is closed before its body.
 * @property swapIdNext answers that carry another request's id.
 * @property cutNext answers that are cut in the middle of their body.
 * @property refuseNext calls that are answered with status 503 and never run.
 */
@Serializable
data class ServiceFaults(
    val extraLatencyMs: Long = 0,
    val loseReplyNext: Int = 0,
    val swapIdNext: Int = 0,
    val cutNext: Int = 0,
    val refuseNext: Int = 0,
    val leaving: Boolean = false
)
