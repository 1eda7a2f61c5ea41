package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable

/** A time in which the rate of a class is multiplied; counted time in seconds. */
@Serializable
data class Burst(val fromS: Double, val toS: Double, val factor: Double)
