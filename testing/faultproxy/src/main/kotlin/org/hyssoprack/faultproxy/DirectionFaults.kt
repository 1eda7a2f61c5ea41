package org.hyssoprack.faultproxy

import kotlinx.serialization.Serializable

/**
 * Faults of one direction of a listener, for all of its connections.
 *
 * @property delayMs time that each piece of data is held, in milliseconds.
 * @property jitterMs longest random time added to [delayMs]; the order of bytes is kept.
 * @property dropShare share of pieces of data that are dropped, from 0 to 1.
 * @property cutShare share of pieces of data at which the connection is cut instead.
 * @property silent whether all data is dropped while connections stay open: a one-way cut.
 */
@Serializable
data class DirectionFaults(
    val delayMs: Long = 0,
    val jitterMs: Long = 0,
    val dropShare: Double = 0.0,
    val cutShare: Double = 0.0,
    val silent: Boolean = false
)
