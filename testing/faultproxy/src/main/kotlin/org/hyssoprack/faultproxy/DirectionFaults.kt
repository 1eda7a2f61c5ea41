package org.hyssoprack.faultproxy

import kotlinx.serialization.Serializable

/**
 * Faults of one direction of a listener, applied to all of its connections.
 *
 * @property delayMs time by which each chunk of data is delayed, in milliseconds.
 * @property jitterMs maximum random time added to [delayMs], in milliseconds; bytes stay in order.
 * @property dropShare probability, from 0 to 1, that a chunk is dropped.
 * @property cutShare probability, from 0 to 1, that a chunk closes the connection.
 * @property silent whether all data is dropped while connections stay open: a one-way partition.
 */
@Serializable
data class DirectionFaults(
    val delayMs: Long = 0,
    val jitterMs: Long = 0,
    val dropShare: Double = 0.0,
    val cutShare: Double = 0.0,
    val silent: Boolean = false
)
