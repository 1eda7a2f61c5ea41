package org.hyssoprack.standins.service

import kotlinx.serialization.Serializable

/**
 * Faults of an emulated plain service. A property `…Next` is the number of further calls to fault.
 *
 * @property extraLatencyMs added to the time of every call, in milliseconds.
 * @property loseReplyNext calls that run but whose connection is closed before the response body.
 * @property swapIdNext responses that carry another request's id.
 * @property cutNext responses whose connection is closed before the end of the body.
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
